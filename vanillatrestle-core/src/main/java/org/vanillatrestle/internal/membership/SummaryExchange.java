package org.vanillatrestle.internal.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.VmId;

/**
 * One VM's part in the exchange of summaries between data centres.
 * <p>
 * Deterministic and not thread safe. For each remote data centre one VM of this data
 * centre, chosen by hash, sends the summaries, so the work is spread evenly. A VM relays
 * the new summaries that it receives to the other VMs of its data centre. Each message
 * between data centres also carries the summary of a third data centre, chosen at random
 * among those with a recent summary, if there are any, so that summaries bypass a broken
 * link. Invariants: of two summaries of a data centre the one created later is kept; a
 * region counts as reachable only if a summary arrived recently and directly from one of
 * its data centres.
 */
public final class SummaryExchange {

	private static final String KEY_PREFIX = "summary:";

	private final DataCentreId self;

	private final SummarySettings settings;

	private final UniformRandomProvider random;

	private final Membership membership;

	private final SummaryOutput output;

	private final Map<DataCentreId, RemoteDataCentre> remotes = new TreeMap<>();

	private final Map<RegionId, RegionReachability> reachability = new TreeMap<>();

	private final Set<DataCentreId> pendingRelays = new TreeSet<>();

	private long nextSendNanos;

	/**
	 * Creates an exchange without any remote data centres.
	 * @param self this data centre
	 * @param settings timeouts and limits
	 * @param random the random source for the choice of third data centres
	 * @param membership the VMs of this data centre
	 * @param output receives messages and reachability changes
	 * @param nowNanos the monotonic time
	 */
	public SummaryExchange(DataCentreId self, SummarySettings settings, UniformRandomProvider random,
			Membership membership, SummaryOutput output, long nowNanos) {
		this.self = self;
		this.settings = settings;
		this.random = random;
		this.membership = membership;
		this.output = output;
		this.nextSendNanos = nowNanos;
	}

	/**
	 * Adds a remote data centre, for example one named in the settings. Its region is
	 * unreachable until a summary arrives directly from a data centre of the region.
	 * @param dataCentre the data centre
	 * @param region its region
	 * @param nowNanos the monotonic time
	 */
	public void addDataCentre(DataCentreId dataCentre, RegionId region, long nowNanos) {
		if (dataCentre.equals(this.self) || this.remotes.size() >= this.settings.maxDataCentres()) {
			return;
		}
		this.remotes.computeIfAbsent(dataCentre, (id) -> new RemoteDataCentre(id, region));
		this.reachability.putIfAbsent(region, new RegionReachability(region, false, nowNanos));
	}

	/**
	 * Returns the remote data centres to which this VM is responsible for sending
	 * summaries.
	 * @return the data centres, by name
	 */
	public List<DataCentreId> assignedDataCentres() {
		return this.remotes.keySet().stream().filter(this::isResponsibleFor).toList();
	}

	/**
	 * Returns the latest summary of each other data centre.
	 * @return the summaries, by name of data centre
	 */
	public List<DataCentreSummary> summaries() {
		return this.remotes.values()
			.stream()
			.filter(RemoteDataCentre::hasSummary)
			.map(RemoteDataCentre::summary)
			.toList();
	}

	/**
	 * Returns the age of the latest summary of a data centre.
	 * @param dataCentre the data centre
	 * @param nowNanos the monotonic time
	 * @return the age in milliseconds, empty if there is no summary
	 */
	public Optional<Integer> ageMillis(DataCentreId dataCentre, long nowNanos) {
		return Optional.ofNullable(this.remotes.get(dataCentre))
			.filter(RemoteDataCentre::hasSummary)
			.map((remote) -> remote.ageMillis(nowNanos));
	}

	/**
	 * Returns the reachability of the other regions.
	 * @return the reachability of each region, by name
	 */
	public Collection<RegionReachability> regions() {
		return List.copyOf(this.reachability.values());
	}

	/**
	 * Records that a link to a VM of another data centre was established.
	 * @param vm the VM
	 * @param dataCentre its data centre
	 * @param region its region
	 * @param nowNanos the monotonic time
	 */
	public void linkUp(VmId vm, DataCentreId dataCentre, RegionId region, long nowNanos) {
		addDataCentre(dataCentre, region, nowNanos);
		RemoteDataCentre remote = this.remotes.get(dataCentre);
		if (remote != null) {
			remote.linked().add(vm);
		}
	}

	/**
	 * Records that the link to a VM was lost.
	 * @param vm the VM
	 */
	public void linkLost(VmId vm) {
		this.remotes.values().forEach((remote) -> remote.linked().remove(vm));
	}

	/**
	 * Advances the time: relays new summaries, updates the reachability of regions and
	 * sends summaries if they are due.
	 * @param nowNanos the monotonic time
	 * @param local supplies this data centre's own summary
	 */
	public void tick(long nowNanos, Supplier<DataCentreSummary> local) {
		relay(nowNanos);
		updateReachability(nowNanos);
		if (nowNanos - this.nextSendNanos < 0) {
			return;
		}
		this.nextSendNanos = nowNanos + this.settings.intervalNanos(this.remotes.size());
		SummaryMessage.Entry own = new SummaryMessage.Entry(local.get(), 0, true);
		for (DataCentreId assigned : assignedDataCentres()) {
			sendTo(this.remotes.get(assigned), own, nowNanos);
		}
	}

	/**
	 * Processes a received message.
	 * @param message the message
	 * @param nowNanos the monotonic time
	 */
	public void receive(SummaryMessage message, long nowNanos) {
		boolean relayed = message.from().equals(this.self);
		for (SummaryMessage.Entry entry : message.entries()) {
			DataCentreSummary summary = entry.summary();
			addDataCentre(summary.dataCentre(), summary.region(), nowNanos);
			RemoteDataCentre remote = this.remotes.get(summary.dataCentre());
			boolean direct = (relayed) ? entry.direct() : summary.dataCentre().equals(message.from());
			if (remote != null && remote.accept(entry, direct, nowNanos) && !relayed) {
				this.pendingRelays.add(summary.dataCentre());
			}
		}
		updateReachability(nowNanos);
	}

	private boolean isResponsibleFor(DataCentreId remote) {
		return this.membership.responsibleFor(KEY_PREFIX + remote).equals(this.membership.self().vm());
	}

	private void sendTo(RemoteDataCentre remote, SummaryMessage.Entry own, long nowNanos) {
		if (remote.linked().isEmpty()) {
			return;
		}
		List<SummaryMessage.Entry> entries = new ArrayList<>();
		entries.add(own);
		randomThirdSummary(remote, nowNanos).ifPresent(entries::add);
		VmId receiver = RendezvousHash.choose(KEY_PREFIX + this.self, List.copyOf(remote.linked()));
		this.output.send(receiver, new SummaryMessage(this.self, entries));
	}

	private Optional<SummaryMessage.Entry> randomThirdSummary(RemoteDataCentre receiver, long nowNanos) {
		List<RemoteDataCentre> others = this.remotes.values()
			.stream()
			.filter((other) -> other != receiver && other.hasSummary())
			.filter((other) -> other.ageMillis(nowNanos) < maxAgeMillis())
			.toList();
		if (others.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(others.get(this.random.nextInt(others.size())).entry(false, nowNanos));
	}

	private void relay(long nowNanos) {
		if (this.pendingRelays.isEmpty()) {
			return;
		}
		List<SummaryMessage.Entry> entries = this.pendingRelays.stream()
			.map(this.remotes::get)
			.filter((remote) -> remote != null && remote.hasSummary())
			.map((remote) -> remote.entry(remote.isSummaryDirect(), nowNanos))
			.toList();
		this.pendingRelays.clear();
		SummaryMessage message = new SummaryMessage(this.self, entries);
		this.membership.presentMembers().forEach((member) -> this.output.send(member.vm(), message));
	}

	private void updateReachability(long nowNanos) {
		long limitNanos = TimeUnit.MILLISECONDS.toNanos(maxAgeMillis());
		Set<RegionId> heardDirectly = new TreeSet<>();
		for (RemoteDataCentre remote : this.remotes.values()) {
			if (remote.isHeardDirectlyWithin(limitNanos, nowNanos)) {
				heardDirectly.add(remote.region());
			}
			remote.discardIfOlder(this.settings.forgetAfterNanos(), nowNanos);
		}
		for (RegionReachability state : List.copyOf(this.reachability.values())) {
			boolean reachable = heardDirectly.contains(state.region());
			if (state.reachable() != reachable) {
				RegionReachability changed = new RegionReachability(state.region(), reachable, nowNanos);
				this.reachability.put(state.region(), changed);
				this.output.changed(changed);
			}
		}
	}

	private long maxAgeMillis() {
		long intervalNanos = this.settings.intervalNanos(this.remotes.size());
		return TimeUnit.NANOSECONDS.toMillis(3 * intervalNanos + this.settings.graceNanos());
	}

}
