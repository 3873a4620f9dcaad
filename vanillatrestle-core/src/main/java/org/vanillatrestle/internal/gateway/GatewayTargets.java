package org.vanillatrestle.internal.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SortedSet;
import java.util.function.Predicate;

import org.apache.commons.rng.UniformRandomProvider;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.declaration.DeclaredService;
import org.vanillatrestle.internal.declaration.ModelEngine;
import org.vanillatrestle.internal.fleet.InFlightLoad;
import org.vanillatrestle.internal.fleet.TargetCondition;
import org.vanillatrestle.internal.fleet.TargetReport;

/**
 * Chooses a target for each request among the targets of this VM's region.
 * <p>
 * Prefers targets where the answer is expected to begin first, estimated from their load,
 * unread prompt tokens and cached prompt parts. Not thread safe.
 */
public final class GatewayTargets {

	/**
	 * The fraction of an engine's cache memory that requests may hold.
	 */
	private static final double MAX_HELD_CACHE_FRACTION = 0.9;

	/**
	 * The most requests per slot, running and waiting, at a target of a plain service.
	 */
	private static final double MAX_PLAIN_REQUESTS_PER_SLOT = 2;

	/**
	 * Candidates whose costs differ by less than this count as equal.
	 */
	private static final double EQUAL_COST_MILLIS = 5;

	/**
	 * The wait that each request in flight adds at an engine, as all share its steps.
	 */
	private static final double MILLIS_PER_REQUEST_IN_FLIGHT = 1.5;

	/**
	 * The weight of reading time in a target's cost, as reading delays other requests.
	 */
	private static final double READING_WEIGHT = 1;

	/**
	 * The fraction of the pause objective for which a target with long stream pauses may
	 * read prompts without delaying its running streams.
	 */
	private static final double HARMLESS_READING_FRACTION = 0.5;

	/**
	 * A target whose longest recent stream pause reaches this fraction of the pause
	 * objective counts as a slow reader.
	 */
	private static final double SLOW_READER_PAUSE_FRACTION = 0.95;

	/**
	 * A target at whose pace long answers take this share of the time that they have
	 * counts as a slow reader, however short its pauses.
	 */
	private static final double MAX_USED_TIME_SHARE = 0.5;

	/**
	 * The cost added to a target whose reading share exceeds the request's limit. It is
	 * larger than any wait, so that such a target is chosen only if all exceed the limit.
	 */
	private static final double BUSY_TARGET_PENALTY_MILLIS = 100_000;

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * The cost added to a target in another data centre of the region, because traffic
	 * between data centres is expensive. An engine reads about 3,000 tokens in this time.
	 */
	private static final double OTHER_DATA_CENTRE_MILLIS = 60;

	private final DataCentreId dataCentre;

	private final TargetEligibility eligibility;

	private final UniformRandomProvider random;

	private final Map<TargetId, GatewayTarget> targets = new HashMap<>();

	private final Map<ServiceName, ServiceSpeed> speeds = new HashMap<>();

	private long otherLoadsNanos;

	/**
	 * Creates an empty set of targets.
	 * @param self this VM
	 * @param dataCentre the data centre of this VM
	 * @param coldQuota computes this VM's quota of requests to cold targets
	 * @param random picks among candidates of equal cost
	 */
	public GatewayTargets(VmId self, DataCentreId dataCentre, ColdQuota coldQuota, UniformRandomProvider random) {
		this.dataCentre = dataCentre;
		this.eligibility = new TargetEligibility(self, coldQuota);
		this.random = random;
	}

	/**
	 * Adds or updates a target of this region.
	 * @param report the report
	 * @param nowNanos the monotonic time
	 */
	public void update(TargetReport report, long nowNanos) {
		GatewayTarget known = this.targets.get(report.target());
		if (known == null) {
			this.targets.put(report.target(), new GatewayTarget(report, nowNanos));
			return;
		}
		known.update(report, nowNanos);
	}

	/**
	 * Removes targets that are gone and have no requests of this VM in flight.
	 */
	public void removeGone() {
		this.targets.values()
			.removeIf((target) -> target.report().condition() == TargetCondition.GONE && target.own().requests() == 0);
	}

	/**
	 * Sets the data centres whose targets get no requests. Targets of a data centre that
	 * is no longer evacuated are treated as cold.
	 * @param changed the evacuated data centres
	 * @param coldMillis the time in milliseconds that targets stay cold, by service
	 * @param nowNanos the monotonic time
	 */
	public void setEvacuated(Set<DataCentreId> changed, Map<ServiceName, Long> coldMillis, long nowNanos) {
		Set<DataCentreId> returned = this.eligibility.setEvacuated(changed);
		this.targets.values()
			.stream()
			.filter((target) -> returned.contains(target.report().dataCentre()))
			.forEach((target) -> target.treatAsCold(coldMillis.getOrDefault(target.report().service(), 0L), nowNanos));
	}

	/**
	 * Sets the entry VMs that share this region's targets.
	 * @param entries the VMs, including this one if the control VMs know of it
	 * @param nowNanos the monotonic time
	 */
	public void setRegionEntries(SortedSet<VmId> entries, long nowNanos) {
		this.eligibility.setRegionEntries(entries, nowNanos);
	}

	/**
	 * Sets the loads that the other VMs have in flight.
	 * @param loads the loads; a target without an entry has none
	 * @param nowNanos the monotonic time
	 */
	public void setOtherLoads(Collection<InFlightLoad> loads, long nowNanos) {
		this.otherLoadsNanos = nowNanos;
		Map<TargetId, InFlightLoad> byTarget = new HashMap<>();
		loads.forEach((load) -> byTarget.merge(load.target(), load, InFlightLoad::plus));
		this.targets
			.forEach((id, target) -> target.setOtherLoad(byTarget.getOrDefault(id, new InFlightLoad(id, 0, 0, 0))));
	}

	/**
	 * Returns all known targets.
	 * @return the targets
	 */
	public Collection<GatewayTarget> all() {
		return this.targets.values();
	}

	/**
	 * Returns whether any known target of a service is ready and not evacuated.
	 * @param service the service
	 * @return whether there is such a target, even one without free capacity
	 */
	public boolean hasTarget(DeclaredService service) {
		return hasUntriedTarget(service, Set.of());
	}

	/**
	 * Returns whether any known target of a service is ready, not evacuated and untried.
	 * @param service the service
	 * @param tried the targets that a request was already sent to
	 * @return whether there is such a target, even one without free capacity
	 */
	public boolean hasUntriedTarget(DeclaredService service, Set<TargetId> tried) {
		return this.targets.values()
			.stream()
			.anyMatch((target) -> this.eligibility.isOffered(target, service) && !tried.contains(target.id()));
	}

	/**
	 * Chooses a target for a request.
	 * @param shape the request
	 * @param tried the targets that the request was already sent to
	 * @param nowNanos the monotonic time
	 * @return the choice, empty if no usable target has free capacity
	 */
	public Optional<TargetChoice> choose(RequestShape shape, Set<TargetId> tried, long nowNanos) {
		return choose(shape, tried, nowNanos,
				(target) -> this.eligibility.isEligible(target, shape.service(), nowNanos));
	}

	// a tried target may be silent, so that nothing is copied from it either
	private Optional<TargetChoice> choose(RequestShape shape, Set<TargetId> tried, long nowNanos,
			Predicate<GatewayTarget> usable) {
		List<GatewayTarget> offered = this.targets.values()
			.stream()
			.filter((target) -> this.eligibility.isOffered(target, shape.service()) && !tried.contains(target.id()))
			.toList();
		List<Candidate> candidates = new ArrayList<>();
		SharedParts shared = SharedParts.of(shape, offered, speed(shape.service().name()), nowNanos);
		for (GatewayTarget target : offered.stream().filter(usable).toList()) {
			long unread = shared.unreadTokens(target);
			double wait = waitMillis(target, shape.service(), unread, nowNanos);
			if (wait >= 0 && hasMemory(target, shape, unread)) {
				wait += shared.copyMillis(target);
				double readingShare = readingShare(target, nowNanos);
				boolean slowReader = isSlowReader(shape, target, nowNanos);
				double penalty = target.report().dataCentre().equals(this.dataCentre) ? 0 : OTHER_DATA_CENTRE_MILLIS;
				double cost = penalty + cost(shape, wait, unread, target, slowReader ? readingShare : 0, nowNanos)
						/ Math.max(0.1, 1 - target.health().failedShare());
				candidates.add(
						new Candidate(target, wait, unread, readingShare, slowReader, shared.copySource(target), cost));
			}
		}
		return best(candidates, nowNanos);
	}

	private double cost(RequestShape shape, double wait, long unread, GatewayTarget target, double harmfulReadingShare,
			long nowNanos) {
		if (shape.service().engine().isEmpty()) {
			return wait;
		}
		ServiceSpeed speed = speed(shape.service().name());
		double readMillis = speed.readMillis(unread, target.speed(), nowNanos);
		double penalty = (harmfulReadingShare > shape.maxReadingShare()) ? BUSY_TARGET_PENALTY_MILLIS : 0;
		return wait + READING_WEIGHT * readMillis + penalty + streamDelayMillis(shape, speed, unread, target, nowNanos);
	}

	// a stream's next event takes several engine steps, and each reads a piece of waiting
	// prompts: at a slow reader these steps together exceed the pause objective
	private double streamDelayMillis(RequestShape shape, ServiceSpeed speed, long unread, GatewayTarget target,
			long nowNanos) {
		if (!isSlowReader(shape, target, nowNanos)) {
			return 0;
		}
		InFlightLoad load = target.totalLoad();
		double harmlessMillis = HARMLESS_READING_FRACTION * shape.pauseObjectiveMillis();
		double before = Math.max(0, speed.readMillis(load.unreadTokens(), target.speed(), nowNanos) - harmlessMillis);
		double after = Math.max(0,
				speed.readMillis(load.unreadTokens() + unread, target.speed(), nowNanos) - harmlessMillis);
		return load.requests() * (after - before);
	}

	private boolean isSlowReader(RequestShape shape, GatewayTarget target, long nowNanos) {
		AnswerPace pace = speed(shape.service().name()).answerPace();
		return target.longestPauseMillis(nowNanos) >= SLOW_READER_PAUSE_FRACTION * shape.pauseObjectiveMillis()
				|| pace.usedTimeShare(target.speed().eventMillis(nowNanos)) >= MAX_USED_TIME_SHARE;
	}

	private Optional<TargetChoice> best(List<Candidate> candidates, long nowNanos) {
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		candidates.sort(Comparator.comparingDouble(Candidate::cost));
		double limit = candidates.get(0).cost() + EQUAL_COST_MILLIS;
		int tieCount = (int) candidates.stream().filter((candidate) -> candidate.cost() < limit).count();
		int pickedIndex = this.random.nextInt(tieCount);
		Candidate best = candidates.get(pickedIndex);
		TargetId runnerUp = (candidates.size() > 1) ? candidates.get((pickedIndex == 0) ? 1 : 0).target().id() : null;
		long ageMillis = (this.otherLoadsNanos != 0) ? (nowNanos - this.otherLoadsNanos) / NANOS_PER_MILLI : -1;
		return Optional
			.of(new TargetChoice(best.target(), Math.round(best.expectedMillis()), best.unread(), best.readingShare(),
					best.slowReader(), best.target().totalLoad(), ageMillis, best.copyFrom(), runnerUp));
	}

	private double readingShare(GatewayTarget target, long nowNanos) {
		return target.readTokensPerSecond(nowNanos, nowNanos - this.otherLoadsNanos)
				/ speed(target.report().service()).tokensPerSecond(target.speed(), nowNanos);
	}

	private double waitMillis(GatewayTarget target, DeclaredService service, long unreadTokens, long nowNanos) {
		ServiceSpeed speed = speed(service.name());
		InFlightLoad load = target.totalLoad();
		int slots = Math.max(1, target.report().slots());
		if (service.engine().isPresent()) {
			return (load.requests() >= slots) ? -1
					: speed.readMillis(load.unreadTokens() + unreadTokens, target.speed(), nowNanos)
							+ MILLIS_PER_REQUEST_IN_FLIGHT * load.requests();
		}
		if (load.requests() >= MAX_PLAIN_REQUESTS_PER_SLOT * slots) {
			return -1;
		}
		double waiting = Math.max(0, load.requests() + 1 - slots);
		return speed.plainMillis(target, nowNanos) * (1 + waiting / slots) + 0.1 * load.requests();
	}

	private static boolean hasMemory(GatewayTarget target, RequestShape shape, long unreadTokens) {
		Optional<ModelEngine> engine = shape.service().engine();
		return engine.isEmpty() || target.totalLoad().requests() == 0 || target.totalLoad().cacheTokens() + unreadTokens
				+ shape.maxOutputTokens() <= MAX_HELD_CACHE_FRACTION * engine.get().cacheCapacityTokens();
	}

	private ServiceSpeed speed(ServiceName service) {
		return this.speeds.computeIfAbsent(service, (key) -> new ServiceSpeed());
	}

	/**
	 * Counts a request that is being sent to the chosen target.
	 * @param choice the chosen target
	 * @param shape the request
	 * @param nowNanos the monotonic time
	 * @return the request in flight
	 */
	public InFlightRequest begin(TargetChoice choice, RequestShape shape, long nowNanos) {
		GatewayTarget target = choice.target();
		speed(shape.service().name()).answerPace().recordRequest(shape);
		target.recordSent(choice.unreadTokens(), nowNanos);
		InFlightRequest request = new InFlightRequest(target, speed(shape.service().name()), shape,
				choice.unreadTokens(), nowNanos);
		shape.service()
			.engine()
			.ifPresent((engine) -> target.prefixCache().add(shape.parts(), SharedParts.keptTokens(engine)));
		return request;
	}

	/**
	 * Estimates how long a target outside this region takes to read a request's prompt,
	 * assuming that it has cached the parts shared with other requests.
	 * @param shape the request
	 * @param nowNanos the monotonic time
	 * @return the time in milliseconds, 0 for a plain service
	 */
	public long readMillis(RequestShape shape, long nowNanos) {
		if (shape.service().engine().isEmpty()) {
			return 0;
		}
		long unread = Math.max(0, shape.promptTokens() - shape.sharedTokens());
		return Math.round(speed(shape.service().name()).readMillis(unread, nowNanos));
	}

	/**
	 * Returns when the first target accepts a request again, if all targets of a service
	 * asked for a pause or this VM has used up its shares of their limits.
	 * @param service the service
	 * @param nowNanos the monotonic time
	 * @return the milliseconds left, empty if no target is known or one accepts requests
	 */
	public OptionalLong reopensInMillis(DeclaredService service, long nowNanos) {
		OptionalLong first = this.targets.values()
			.stream()
			.filter((target) -> this.eligibility.isOffered(target, service))
			.mapToLong((target) -> this.eligibility.reopensInMillis(target, nowNanos))
			.min();
		return (first.isPresent() && first.getAsLong() > 0) ? first : OptionalLong.empty();
	}

	/**
	 * Estimates the choice for one more request from another region. Targets that are
	 * cold or state a limit are left out: the requests that they tolerate are reserved
	 * for this region.
	 * @param service the service
	 * @param pauseObjectiveMillis the shortest pause objective of its streams
	 * @param nowNanos the monotonic time
	 * @return the choice for a request without a prompt, empty if no target has capacity
	 */
	public Optional<TargetChoice> chooseForRemote(DeclaredService service, long pauseObjectiveMillis, long nowNanos) {
		return choose(new RequestShape(service, 0, 0, List.of(), pauseObjectiveMillis, Double.MAX_VALUE), Set.of(),
				nowNanos, (target) -> this.eligibility.isEligible(target, service, nowNanos)
						&& !this.eligibility.isRestricted(target, service, nowNanos));
	}

	/**
	 * A target with free capacity for the request, and its estimates.
	 */
	private record Candidate(GatewayTarget target, double expectedMillis, long unread, double readingShare,
			boolean slowReader, Optional<GatewayTarget> copyFrom, double cost) {
	}

}
