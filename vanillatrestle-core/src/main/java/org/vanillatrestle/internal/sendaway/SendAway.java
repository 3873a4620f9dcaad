package org.vanillatrestle.internal.sendaway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.vanillatrestle.CustomerId;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.Objective;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.internal.admission.TokenBucket;
import org.vanillatrestle.internal.cost.CostAccount;
import org.vanillatrestle.internal.request.LinkSettings;
import org.vanillatrestle.internal.request.PolicyRequest;
import org.vanillatrestle.internal.request.PoolKey;
import org.vanillatrestle.internal.request.RegionSummary;

/**
 * Decides whether a request leaves its home and for which data centre.
 * <p>
 * Never names a data centre in a region that the request does not allow. Not thread safe:
 * owned by the VM's event loop.
 */
public final class SendAway {

	private static final long ANSWER_BYTES_PER_TOKEN = 200;

	private static final long FIXED_BYTES = 4_096;

	private static final double HUNDRED_PERCENT = 100;

	private final SendAwaySettings settings;

	private final Map<DataCentreId, LinkSettings> links;

	private final LinkSettings defaultLink;

	private final Map<PoolKey, Map<DataCentreId, Remote>> remotes = new HashMap<>();

	private final Map<DataCentreId, TokenBucket> budgets = new HashMap<>();

	private final Map<Key, SentShare> shares = new HashMap<>();

	public SendAway(SendAwaySettings settings, Map<DataCentreId, LinkSettings> links, LinkSettings defaultLink) {
		this.settings = settings;
		this.links = Map.copyOf(links);
		this.defaultLink = defaultLink;
	}

	/**
	 * Takes a data centre's summary.
	 * @param summary the summary
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void summary(RegionSummary summary, long nowNanos) {
		this.remotes.computeIfAbsent(summary.pool(), (pool) -> new HashMap<>())
			.computeIfAbsent(summary.dataCentre(), (dataCentre) -> new Remote())
			.heard(summary, nowNanos);
	}

	/**
	 * Counts a request towards its customer's share.
	 * @param request the request
	 */
	public void arrived(PolicyRequest request) {
		share(request).arrived();
	}

	/**
	 * Chooses a data centre if the request had better leave.
	 * @param request the request
	 * @param home what staying would mean
	 * @param sharers the VMs of this data centre that see the same summaries
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the data centre's summary, or empty to stay
	 */
	public Optional<RegionSummary> choose(PolicyRequest request, HomeView home, int sharers, long nowNanos) {
		Remote best = null;
		double bestGain = 0;
		boolean capped = home.hasTargets() && !share(request).below(request.service().maxSentAwayPercent());
		if (capped) {
			return Optional.empty();
		}
		for (Remote remote : usable(request, nowNanos)) {
			double gain = gain(request, home, remote, sharers, nowNanos);
			if (gain > 0 && (best == null || gain > bestGain)) {
				best = remote;
				bestGain = gain;
			}
		}
		return Optional.ofNullable(best).map(Remote::summary);
	}

	/**
	 * Notes that a request was sent away.
	 * @param request the request
	 * @param dataCentre where to
	 * @param answerTokens usual tokens of an answer
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the price of the transfer in millionths of the currency
	 */
	public long sent(PolicyRequest request, DataCentreId dataCentre, double answerTokens, long nowNanos) {
		share(request).sent();
		Remote remote = this.remotes.getOrDefault(request.pool(), Map.of()).get(dataCentre);
		if (remote != null) {
			remote.sent();
		}
		long bytes = bytes(request, answerTokens);
		budget(dataCentre, nowNanos).take(bytes, nowNanos);
		return CostAccount.transferMicros(link(dataCentre).priceMicrosPerMegabyte(), bytes);
	}

	/**
	 * Leaves a data centre alone for a while since it refused a request.
	 * @param pool the request's pool
	 * @param dataCentre the data centre
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void refused(PoolKey pool, DataCentreId dataCentre, long nowNanos) {
		Remote remote = this.remotes.getOrDefault(pool, Map.of()).get(dataCentre);
		if (remote != null) {
			remote.leaveAlone(nowNanos + this.settings.refusalNanos());
		}
	}

	/**
	 * Leaves a data centre alone until it is heard again since it did not answer.
	 * @param pool the request's pool
	 * @param dataCentre the data centre
	 */
	public void lost(PoolKey pool, DataCentreId dataCentre) {
		Remote remote = this.remotes.getOrDefault(pool, Map.of()).get(dataCentre);
		if (remote != null) {
			remote.lost();
		}
	}

	public void removed(CustomerId customer) {
		this.shares.keySet().removeIf((key) -> key.customer.equals(customer));
	}

	private List<Remote> usable(PolicyRequest request, long nowNanos) {
		List<Remote> result = new ArrayList<>();
		for (Remote remote : this.remotes.getOrDefault(request.pool(), Map.of()).values()) {
			if (remote.usable(nowNanos, this.settings.summaryTtlNanos())
					&& request.allowedRegions().contains(remote.summary().region())) {
				result.add(remote);
			}
		}
		return result;
	}

	private double gain(PolicyRequest request, HomeView home, Remote remote, int sharers, long nowNanos) {
		RegionSummary summary = remote.summary();
		if (home.hasTargets() && remote.free(sharers, home.pending()) < 1) {
			return 0;
		}
		if (!budget(summary.dataCentre(), nowNanos).has(bytes(request, home.answerTokens()), nowNanos)) {
			return 0;
		}
		if (!home.hasTargets()) {
			return remote.mayTakeOne(sharers, home.pending()) ? Math.max(1, remote.free(sharers, home.pending())) : 0;
		}
		double timeGain = timeGainNanos(home, remote);
		if (request.objective() == Objective.COST && saves(request, home, remote, sharers)) {
			return HUNDRED_PERCENT + 1 / (1.0 + costMicros(request, home, remote));
		}
		double threshold = remote.active() ? this.settings.leaveGainNanos() : this.settings.enterGainNanos();
		boolean enough = timeGain >= threshold;
		if (request.objective() != Objective.COST) {
			remote.active(enough);
		}
		return enough ? timeGain : 0;
	}

	private double timeGainNanos(HomeView home, Remote remote) {
		long delayNanos = link(remote.summary().dataCentre()).delayNanos();
		return home.waitNanos() - 2.0 * delayNanos - remote.summary().queueDelayNanos() - home.coldNanos();
	}

	private boolean saves(PolicyRequest request, HomeView home, Remote remote, int sharers) {
		int percent = remote.active() ? this.settings.leaveSavingPercent() : this.settings.enterSavingPercent();
		boolean cheaper = costMicros(request, home, remote) * HUNDRED_PERCENT <= home.costMicros()
				* (HUNDRED_PERCENT - percent);
		boolean saving = cheaper && remote.usedBelow(this.settings.maxRemoteUsePercent(), sharers);
		remote.active(saving);
		return saving;
	}

	private double costMicros(PolicyRequest request, HomeView home, Remote remote) {
		RegionSummary summary = remote.summary();
		double tokens = request.promptTokens() + home.answerTokens();
		long transferMicros = CostAccount.transferMicros(link(summary.dataCentre()).priceMicrosPerMegabyte(),
				bytes(request, home.answerTokens()));
		return summary.priceMicrosPerThousandTokens() * tokens / 1_000 + summary.priceMicrosPerRequest()
				+ transferMicros;
	}

	private static long bytes(PolicyRequest request, double answerTokens) {
		long tokens = (long) Math.min(request.maxTokens(), answerTokens);
		return FIXED_BYTES + request.requestBytes() + tokens * ANSWER_BYTES_PER_TOKEN;
	}

	private TokenBucket budget(DataCentreId dataCentre, long nowNanos) {
		return this.budgets.computeIfAbsent(dataCentre,
				(key) -> new TokenBucket(link(key).budgetBytesPerSecond(), 1, nowNanos));
	}

	private LinkSettings link(DataCentreId dataCentre) {
		return this.links.getOrDefault(dataCentre, this.defaultLink);
	}

	private SentShare share(PolicyRequest request) {
		return this.shares.computeIfAbsent(new Key(request.customer(), request.service().name()),
				(key) -> new SentShare());
	}

	private record Key(CustomerId customer, ServiceName service) {

	}

}
