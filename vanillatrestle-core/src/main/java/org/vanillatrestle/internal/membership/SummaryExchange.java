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
 * Deterministic, not thread safe. The duty to talk to each other data centre falls on one
 * VM of this data centre, chosen by hash, so the duties are spread evenly. What it hears
 * it relays to the VMs of its own data centre. Each message between data centres also
 * carries one summary of a third, so that news goes around a link that is cut.
 * Invariants: of two summaries of a data centre the one made later is kept; a region
 * counts as reachable only if one of its data centres was heard straight.
 */
public final class SummaryExchange {

	private static final String PURPOSE = "summary:";

	private final DataCentreId self;

	private final SummarySettings settings;

	private final UniformRandomProvider random;

	private final Membership membership;

	private final SummaryOutput output;

	private final Map<DataCentreId, RemoteDataCentre> remotes = new TreeMap<>();

	private final Map<RegionId, RegionReach> reach = new TreeMap<>();

	private final Set<DataCentreId> toRelay = new TreeSet<>();

	private long nextNanos;

	/**
	 * Creates an exchange that knows no other data centre.
	 * @param self this data centre
	 * @param settings times and limits
	 * @param random the source of the choice of third data centres
	 * @param membership the VMs of this data centre
	 * @param output takes messages and changes
	 * @param nowNanos the monotonic time
	 */
	public SummaryExchange(DataCentreId self, SummarySettings settings, UniformRandomProvider random,
			Membership membership, SummaryOutput output, long nowNanos) {
		this.self = self;
		this.settings = settings;
		this.random = random;
		this.membership = membership;
		this.output = output;
		this.nextNanos = nowNanos;
	}

	/**
	 * Makes another data centre known, as settings name it. Until it is heard from, its
	 * region is unreachable.
	 * @param dataCentre the data centre
	 * @param region its region
	 * @param nowNanos the monotonic time
	 */
	public void know(DataCentreId dataCentre, RegionId region, long nowNanos) {
		if (dataCentre.equals(this.self) || this.remotes.size() >= this.settings.maxDataCentres()) {
			return;
		}
		this.remotes.computeIfAbsent(dataCentre, (id) -> new RemoteDataCentre(id, region));
		this.reach.putIfAbsent(region, new RegionReach(region, false, nowNanos));
	}

	/**
	 * Returns the other data centres that this VM has the duty to talk to.
	 * @return the data centres, by name
	 */
	public List<DataCentreId> duties() {
		return this.remotes.keySet().stream().filter(this::isDuty).toList();
	}

	/**
	 * Returns the latest summary of each other data centre.
	 * @return the summaries, by name of data centre
	 */
	public List<DataCentreSummary> summaries() {
		return this.remotes.values().stream().filter(RemoteDataCentre::isHeard).map(RemoteDataCentre::summary).toList();
	}

	/**
	 * Returns the age of the latest summary of a data centre.
	 * @param dataCentre the data centre
	 * @param nowNanos the monotonic time
	 * @return the age in milliseconds, empty if there is no summary
	 */
	public Optional<Integer> ageMillis(DataCentreId dataCentre, long nowNanos) {
		return Optional.ofNullable(this.remotes.get(dataCentre))
			.filter(RemoteDataCentre::isHeard)
			.map((remote) -> remote.ageMillis(nowNanos));
	}

	/**
	 * Returns which regions are reachable and since when.
	 * @return the other regions, by name
	 */
	public Collection<RegionReach> regions() {
		return List.copyOf(this.reach.values());
	}

	/**
	 * Notes that a link to a VM of another data centre is up.
	 * @param vm the VM
	 * @param dataCentre its data centre
	 * @param region its region
	 * @param nowNanos the monotonic time
	 */
	public void linkUp(VmId vm, DataCentreId dataCentre, RegionId region, long nowNanos) {
		know(dataCentre, region, nowNanos);
		RemoteDataCentre remote = this.remotes.get(dataCentre);
		if (remote != null) {
			remote.linked().add(vm);
		}
	}

	/**
	 * Notes that the link to a VM was lost.
	 * @param vm the VM
	 */
	public void linkLost(VmId vm) {
		this.remotes.values().forEach((remote) -> remote.linked().remove(vm));
	}

	/**
	 * Passes the time on.
	 * @param nowNanos the monotonic time
	 * @param local gives this data centre's own summary
	 */
	public void tick(long nowNanos, Supplier<DataCentreSummary> local) {
		relay(nowNanos);
		checkReach(nowNanos);
		if (nowNanos - this.nextNanos < 0) {
			return;
		}
		this.nextNanos = nowNanos + this.settings.intervalNanos(this.remotes.size());
		SummaryMessage.Entry own = new SummaryMessage.Entry(local.get(), 0, true);
		for (DataCentreId duty : duties()) {
			sendTo(this.remotes.get(duty), own, nowNanos);
		}
	}

	/**
	 * Takes a message.
	 * @param message the message
	 * @param nowNanos the monotonic time
	 */
	public void receive(SummaryMessage message, long nowNanos) {
		boolean relayed = message.from().equals(this.self);
		for (SummaryMessage.Entry entry : message.entries()) {
			DataCentreSummary summary = entry.summary();
			know(summary.dataCentre(), summary.region(), nowNanos);
			RemoteDataCentre remote = this.remotes.get(summary.dataCentre());
			boolean direct = (relayed) ? entry.direct() : summary.dataCentre().equals(message.from());
			if (remote != null && remote.take(entry, direct, nowNanos) && !relayed) {
				this.toRelay.add(summary.dataCentre());
			}
		}
		checkReach(nowNanos);
	}

	private boolean isDuty(DataCentreId remote) {
		return this.membership.chosenFor(PURPOSE + remote).equals(this.membership.self().vm());
	}

	private void sendTo(RemoteDataCentre remote, SummaryMessage.Entry own, long nowNanos) {
		if (remote.linked().isEmpty()) {
			return;
		}
		List<SummaryMessage.Entry> entries = new ArrayList<>();
		entries.add(own);
		third(remote, nowNanos).ifPresent(entries::add);
		VmId receiver = Rendezvous.choose(PURPOSE + this.self, List.copyOf(remote.linked()));
		this.output.send(receiver, new SummaryMessage(this.self, entries));
	}

	private Optional<SummaryMessage.Entry> third(RemoteDataCentre receiver, long nowNanos) {
		List<RemoteDataCentre> others = this.remotes.values()
			.stream()
			.filter((other) -> other != receiver && other.isHeard())
			.filter((other) -> other.ageMillis(nowNanos) < freshMillis())
			.toList();
		if (others.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(others.get(this.random.nextInt(others.size())).entry(false, nowNanos));
	}

	private void relay(long nowNanos) {
		if (this.toRelay.isEmpty()) {
			return;
		}
		List<SummaryMessage.Entry> entries = this.toRelay.stream()
			.map(this.remotes::get)
			.filter((remote) -> remote != null && remote.isHeard())
			.map((remote) -> remote.entry(remote.isLastDirect(), nowNanos))
			.toList();
		this.toRelay.clear();
		SummaryMessage message = new SummaryMessage(this.self, entries);
		this.membership.present().forEach((member) -> this.output.send(member.vm(), message));
	}

	private void checkReach(long nowNanos) {
		long limitNanos = TimeUnit.MILLISECONDS.toNanos(freshMillis());
		Set<RegionId> heard = new TreeSet<>();
		for (RemoteDataCentre remote : this.remotes.values()) {
			if (remote.isDirectWithin(limitNanos, nowNanos)) {
				heard.add(remote.region());
			}
			remote.forget(this.settings.forgetAfterNanos(), nowNanos);
		}
		for (RegionReach state : List.copyOf(this.reach.values())) {
			boolean reachable = heard.contains(state.region());
			if (state.reachable() != reachable) {
				RegionReach changed = new RegionReach(state.region(), reachable, nowNanos);
				this.reach.put(state.region(), changed);
				this.output.changed(changed);
			}
		}
	}

	private long freshMillis() {
		long intervalNanos = this.settings.intervalNanos(this.remotes.size());
		return TimeUnit.NANOSECONDS.toMillis(3 * intervalNanos + this.settings.graceNanos());
	}

}
