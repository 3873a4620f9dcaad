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
import org.vanillatrestle.internal.request.PoolSummary;

/**
 * Decides whether a request is forwarded to another data centre, and to which one.
 * <p>
 * Never chooses a data centre in a region that the request does not allow. Not thread
 * safe: confined to the VM's event loop.
 */
public final class ForwardingPolicy {

	private static final long RESPONSE_BYTES_PER_TOKEN = 200;

	private static final long OVERHEAD_BYTES = 4_096;

	private static final double HUNDRED_PERCENT = 100;

	private final ForwardingSettings settings;

	private final Map<DataCentreId, LinkSettings> links;

	private final LinkSettings defaultLink;

	private final Map<PoolKey, Map<DataCentreId, RemotePool>> remotePools = new HashMap<>();

	private final Map<DataCentreId, TokenBucket> bandwidthBudgets = new HashMap<>();

	private final Map<Key, ForwardedShare> shares = new HashMap<>();

	public ForwardingPolicy(ForwardingSettings settings, Map<DataCentreId, LinkSettings> links,
			LinkSettings defaultLink) {
		this.settings = settings;
		this.links = Map.copyOf(links);
		this.defaultLink = defaultLink;
	}

	/**
	 * Stores the summary of a pool in another data centre.
	 * @param summary the summary
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void updateSummary(PoolSummary summary, long nowNanos) {
		this.remotePools.computeIfAbsent(summary.pool(), (pool) -> new HashMap<>())
			.computeIfAbsent(summary.dataCentre(), (dataCentre) -> new RemotePool())
			.updateSummary(summary, nowNanos);
	}

	/**
	 * Counts a request in the total from which its service's share of forwarded requests
	 * is computed.
	 * @param request the request
	 */
	public void requestArrived(PolicyRequest request) {
		share(request).requestArrived();
	}

	/**
	 * Chooses another data centre for a request if forwarding is expected to be better
	 * than serving it in this data centre.
	 * @param request the request
	 * @param local the estimate of serving the request in this data centre
	 * @param sharingVms the number of VMs of this data centre, which receive the same
	 * summaries, including this one
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the summary of the chosen data centre's pool, or empty to serve the request
	 * in this data centre
	 */
	public Optional<PoolSummary> chooseDataCentre(PolicyRequest request, LocalEstimate local, int sharingVms,
			long nowNanos) {
		RemotePool best = null;
		double bestGain = 0;
		boolean shareExhausted = local.hasTargets()
				&& !share(request).canForward(request.service().maxSentAwayPercent());
		if (shareExhausted) {
			return Optional.empty();
		}
		for (RemotePool remote : usablePools(request, nowNanos)) {
			double gain = forwardingGain(request, local, remote, sharingVms, nowNanos);
			if (gain > 0 && (best == null || gain > bestGain)) {
				best = remote;
				bestGain = gain;
			}
		}
		return Optional.ofNullable(best).map(RemotePool::summary);
	}

	/**
	 * Records that a request was forwarded.
	 * @param request the request
	 * @param dataCentre the data centre that the request was forwarded to
	 * @param answerTokens the typical number of tokens in a response
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the price of the transfer, in millionths of the currency
	 */
	public long requestForwarded(PolicyRequest request, DataCentreId dataCentre, double answerTokens, long nowNanos) {
		share(request).requestForwarded();
		RemotePool remote = this.remotePools.getOrDefault(request.pool(), Map.of()).get(dataCentre);
		if (remote != null) {
			remote.requestForwarded();
		}
		long bytes = transferBytes(request, answerTokens);
		bandwidthBudget(dataCentre, nowNanos).tryConsume(bytes, nowNanos);
		return CostAccount.transferMicros(link(dataCentre).priceMicrosPerMegabyte(), bytes);
	}

	/**
	 * Stops forwarding to a data centre's pool for the back-off period, because the data
	 * centre refused a request.
	 * @param pool the request's pool
	 * @param dataCentre the data centre that refused the request
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void requestRefused(PoolKey pool, DataCentreId dataCentre, long nowNanos) {
		RemotePool remote = this.remotePools.getOrDefault(pool, Map.of()).get(dataCentre);
		if (remote != null) {
			remote.backOffUntil(nowNanos + this.settings.refusalBackoffNanos());
		}
	}

	/**
	 * Stops forwarding to a data centre's pool until its next summary arrives, because an
	 * attempt there failed.
	 * @param pool the request's pool
	 * @param dataCentre the data centre where the attempt failed
	 */
	public void markUnreachable(PoolKey pool, DataCentreId dataCentre) {
		RemotePool remote = this.remotePools.getOrDefault(pool, Map.of()).get(dataCentre);
		if (remote != null) {
			remote.markUnreachable();
		}
	}

	public void removeCustomer(CustomerId customer) {
		this.shares.keySet().removeIf((key) -> key.customer.equals(customer));
	}

	private List<RemotePool> usablePools(PolicyRequest request, long nowNanos) {
		List<RemotePool> result = new ArrayList<>();
		for (RemotePool remote : this.remotePools.getOrDefault(request.pool(), Map.of()).values()) {
			if (remote.isUsable(nowNanos, this.settings.summaryTtlNanos())
					&& request.allowedRegions().contains(remote.summary().region())) {
				result.add(remote);
			}
		}
		return result;
	}

	private double forwardingGain(PolicyRequest request, LocalEstimate local, RemotePool remote, int sharingVms,
			long nowNanos) {
		PoolSummary summary = remote.summary();
		if (local.hasTargets() && remote.freeSlotShare(sharingVms, local.pendingRequests()) < 1) {
			return 0;
		}
		if (!bandwidthBudget(summary.dataCentre(), nowNanos).canConsume(transferBytes(request, local.answerTokens()),
				nowNanos)) {
			return 0;
		}
		if (!local.hasTargets()) {
			return remote.canTakeRequest(sharingVms, local.pendingRequests())
					? Math.max(1, remote.freeSlotShare(sharingVms, local.pendingRequests())) : 0;
		}
		double timeGainNanos = timeGainNanos(local, remote);
		if (request.objective() == Objective.COST && isCheaper(request, local, remote, sharingVms)) {
			return HUNDRED_PERCENT + 1 / (1.0 + costMicros(request, local, remote));
		}
		double threshold = remote.forwardingActive() ? this.settings.stopGainNanos() : this.settings.startGainNanos();
		boolean sufficient = timeGainNanos >= threshold;
		if (request.objective() != Objective.COST) {
			remote.forwardingActive(sufficient);
		}
		return sufficient ? timeGainNanos : 0;
	}

	private double timeGainNanos(LocalEstimate local, RemotePool remote) {
		long delayNanos = link(remote.summary().dataCentre()).delayNanos();
		return local.waitNanos() - 2.0 * delayNanos - remote.summary().queueDelayNanos() - local.cacheMissNanos();
	}

	private boolean isCheaper(PolicyRequest request, LocalEstimate local, RemotePool remote, int sharingVms) {
		// Forwarding to a pool starts above the start threshold and stops below the stop
		// threshold, so the result is stored as the pool's state.
		int percent = remote.forwardingActive() ? this.settings.stopSavingPercent()
				: this.settings.startSavingPercent();
		boolean cheaper = costMicros(request, local, remote) * HUNDRED_PERCENT <= local.costMicros()
				* (HUNDRED_PERCENT - percent);
		boolean worthwhile = cheaper && remote.isUsedBelow(this.settings.maxRemoteUsePercent(), sharingVms);
		remote.forwardingActive(worthwhile);
		return worthwhile;
	}

	private double costMicros(PolicyRequest request, LocalEstimate local, RemotePool remote) {
		PoolSummary summary = remote.summary();
		double tokens = request.promptTokens() + local.answerTokens();
		long transferMicros = CostAccount.transferMicros(link(summary.dataCentre()).priceMicrosPerMegabyte(),
				transferBytes(request, local.answerTokens()));
		return summary.priceMicrosPerThousandTokens() * tokens / 1_000 + summary.priceMicrosPerRequest()
				+ transferMicros;
	}

	private static long transferBytes(PolicyRequest request, double answerTokens) {
		long tokens = (long) Math.min(request.maxTokens(), answerTokens);
		return OVERHEAD_BYTES + request.requestBytes() + tokens * RESPONSE_BYTES_PER_TOKEN;
	}

	private TokenBucket bandwidthBudget(DataCentreId dataCentre, long nowNanos) {
		return this.bandwidthBudgets.computeIfAbsent(dataCentre,
				(key) -> new TokenBucket(link(key).budgetBytesPerSecond(), 1, nowNanos));
	}

	private LinkSettings link(DataCentreId dataCentre) {
		return this.links.getOrDefault(dataCentre, this.defaultLink);
	}

	private ForwardedShare share(PolicyRequest request) {
		return this.shares.computeIfAbsent(new Key(request.customer(), request.service().name()),
				(key) -> new ForwardedShare());
	}

	private record Key(CustomerId customer, ServiceName service) {

	}

}
