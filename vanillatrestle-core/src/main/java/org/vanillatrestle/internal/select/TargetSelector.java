package org.vanillatrestle.internal.select;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.request.Attempt;
import org.vanillatrestle.internal.request.AttemptOutcome;
import org.vanillatrestle.internal.request.Placement;
import org.vanillatrestle.internal.request.PolicyRequest;
import org.vanillatrestle.internal.request.PoolKey;
import org.vanillatrestle.internal.target.Announcement;
import org.vanillatrestle.internal.target.TargetRegistry;

/**
 * Chooses targets in this VM's data centre, and updates their state with the results of
 * the attempts.
 * <p>
 * Never chooses a target that has already been tried for the request or one that the
 * registry does not list. Not thread safe: owned by the VM's event loop.
 */
public final class TargetSelector {

	private static final long CANDIDATE_REFRESH_NANOS = 50_000_000;

	private static final int MAX_UNLISTED_STATES = 64;

	private static final double MIN_FIRST_BYTE_TIMEOUT_NANOS = 2e9;

	private static final double FIRST_BYTE_TIMEOUT_FACTOR = 8;

	private final SelectionSettings settings;

	private final TargetRegistry registry;

	private final UniformRandomProvider random;

	private final Map<TargetId, TargetState> states = new HashMap<>();

	private final PrefixHolders prefixHolders = new PrefixHolders();

	private final Map<PoolKey, Pool> pools = new HashMap<>();

	private final Map<VmId, PeerReport> peerReports = new HashMap<>();

	private long changeCount;

	public TargetSelector(SelectionSettings settings, TargetRegistry registry, UniformRandomProvider random) {
		this.settings = settings;
		this.registry = registry;
		this.random = random;
	}

	/**
	 * Returns a pool with up-to-date candidates and loads.
	 * @param key the key of the pool
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the pool, whose figures are valid until the next call
	 */
	public Pool pool(PoolKey key, long nowNanos) {
		Pool pool = this.pools.computeIfAbsent(key, Pool::new);
		if (pool.hasOutdatedCandidates(this.registry.version(), nowNanos, CANDIDATE_REFRESH_NANOS)) {
			expirePeers(nowNanos);
			this.changeCount++;
			pool.setCandidates(findCandidates(pool, nowNanos), this.registry.version(), nowNanos);
			pruneStates(nowNanos);
		}
		pool.refresh(this.settings, this.changeCount, nowNanos);
		return pool;
	}

	/**
	 * Chooses a target for a request.
	 * @param pool the request's pool, just returned by {@link #pool}
	 * @param request the request
	 * @param tried the targets to which an attempt of this request has already been sent
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the target, or empty if no eligible target is left
	 */
	public Optional<Announcement> choose(Pool pool, PolicyRequest request, Set<TargetId> tried, long nowNanos) {
		List<Candidate> eligible = eligibleCandidates(pool, request, tried);
		if (eligible.isEmpty()) {
			return Optional.empty();
		}
		List<Candidate> preferred = preferredCandidates(eligible);
		TargetCosts costs = new TargetCosts(this.settings, nowNanos,
				RendezvousHashing.highestRanked(request.prefixHash(), eligible),
				this.prefixHolders.holders(request.prefixHash()));
		Candidate chosen = this.settings.mode().choose(pool, preferred, request, costs, this.random);
		return Optional.of(chosen.announcement());
	}

	/**
	 * Stores the requests in flight reported by another VM of the data centre, replacing
	 * its previous report.
	 * @param peer the other VM
	 * @param inFlight the number of its requests in flight per target
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void recordPeerInFlight(VmId peer, Map<TargetId, Integer> inFlight, long nowNanos) {
		this.changeCount++;
		PeerReport previous = this.peerReports.put(peer, new PeerReport(Map.copyOf(inFlight), nowNanos));
		if (previous != null) {
			previous.inFlight.forEach((target, count) -> stateOf(target).addPeersInFlight(-count));
		}
		inFlight.forEach((target, count) -> stateOf(target).addPeersInFlight(count));
	}

	/**
	 * Returns the number of other VMs of the data centre whose reports have not expired.
	 * @return the number of peers
	 */
	public int peerCount() {
		return this.peerReports.size();
	}

	/**
	 * Returns the requests that this VM has in flight, to report them to its peers.
	 * @return the number of requests per target, without targets that have none
	 */
	public Map<TargetId, Integer> ownInFlight() {
		Map<TargetId, Integer> result = new HashMap<>();
		this.states.forEach((target, state) -> {
			if (state.ownInFlight() > 0) {
				result.put(target, state.ownInFlight());
			}
		});
		return result;
	}

	/**
	 * Updates the state of an attempt's target when the attempt is dispatched, and sets
	 * the attempt's expected time to the first byte.
	 * @param attempt the attempt, placed at a local target
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void recordDispatch(Attempt attempt, long nowNanos) {
		this.changeCount++;
		Announcement target = targetOf(attempt);
		TargetState state = stateOf(target.target());
		Pool pool = this.pools.computeIfAbsent(attempt.request().pool(), Pool::new);
		boolean cached = this.prefixHolders.holders(attempt.request().prefixHash()).contains(state);
		attempt.workUnits(TargetCosts.workUnits(attempt.request(), cached));
		attempt.expectedFirstByteNanos((long) (pool.nanosPerWorkUnit() * attempt.workUnits()));
		this.prefixHolders.recordDispatch(attempt.request().prefixHash(), state);
		state.recordDispatch(nowNanos);
	}

	/**
	 * Updates the latency of the target and its pool when the first byte of an attempt's
	 * answer arrives.
	 * @param attempt the attempt, placed at a local target
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void recordFirstByte(Attempt attempt, long nowNanos) {
		TargetState state = stateOf(targetOf(attempt).target());
		long elapsedNanos = nowNanos - attempt.startedNanos();
		this.changeCount++;
		state.recordFirstByte(nowNanos);
		state.recordFirstByteRatio((double) elapsedNanos / Math.max(1, attempt.expectedFirstByteNanos()), nowNanos);
		this.pools.computeIfAbsent(attempt.request().pool(), Pool::new)
			.recordFirstByte(attempt.workUnits(), elapsedNanos);
	}

	/**
	 * Updates the state of an attempt's target when the attempt ends.
	 * @param attempt the attempt, placed at a local target
	 * @param outcome the outcome of the attempt
	 * @param tokens the number of tokens in the answer
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void recordEnd(Attempt attempt, AttemptOutcome outcome, long tokens, long nowNanos) {
		TargetState state = stateOf(targetOf(attempt).target());
		this.changeCount++;
		state.recordEnd();
		if (!attempt.isFirstByteReceived()) {
			state.recordEndWithoutFirstByte();
		}
		if (outcome == AttemptOutcome.UNREACHABLE) {
			state.markUnreachable();
		}
		if (outcome.isTargetFailure()) {
			state.recordFailure(this.settings, nowNanos);
		}
		if (outcome == AttemptOutcome.COMPLETED) {
			state.recordSuccess();
			this.pools.computeIfAbsent(attempt.request().pool(), Pool::new)
				.recordCompletion(nowNanos - attempt.startedNanos(), tokens);
		}
	}

	/**
	 * Returns the moving average of an answer's length in a pool.
	 * @param key the key of the pool
	 * @return the number of tokens
	 */
	public double meanAnswerTokens(PoolKey key) {
		return this.pools.computeIfAbsent(key, Pool::new).meanAnswerTokens();
	}

	/**
	 * Returns how long to wait for the first byte of an answer: a multiple of the time
	 * that is usual in the pool if the prompt is not cached, but not less than a minimum.
	 * @param request the request
	 * @return nanoseconds
	 */
	public long firstByteTimeoutNanos(PolicyRequest request) {
		Pool pool = this.pools.computeIfAbsent(request.pool(), Pool::new);
		double usualNanos = pool.nanosPerWorkUnit() * TargetCosts.workUnits(request, false);
		return (long) Math.max(MIN_FIRST_BYTE_TIMEOUT_NANOS, FIRST_BYTE_TIMEOUT_FACTOR * usualNanos);
	}

	private List<Candidate> findCandidates(Pool pool, long nowNanos) {
		List<Candidate> result = new ArrayList<>();
		for (Announcement announcement : this.registry.availableTargets(nowNanos)) {
			if (pool.key().contains(announcement)) {
				TargetState state = stateOf(announcement.target());
				state.applyAnnouncement(announcement, pool.hasNeverHadTargets(), nowNanos);
				result.add(new Candidate(announcement, state));
			}
		}
		return result;
	}

	/**
	 * Returns the pools to which at least one available target of the registry belongs.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the keys of the pools
	 */
	public Set<PoolKey> livePools(long nowNanos) {
		Set<PoolKey> result = new HashSet<>();
		this.registry.availableTargets(nowNanos).forEach((announcement) -> result.addAll(PoolKey.of(announcement)));
		return result;
	}

	private static List<Candidate> eligibleCandidates(Pool pool, PolicyRequest request, Set<TargetId> tried) {
		List<Candidate> result = new ArrayList<>(pool.candidates().size());
		for (Candidate candidate : pool.candidates()) {
			CustomerId owner = candidate.announcement().customer();
			boolean servesCustomer = owner == null || owner.equals(request.customer());
			if (servesCustomer && !candidate.isUnreachable() && !tried.contains(candidate.announcement().target())) {
				result.add(candidate);
			}
		}
		return result;
	}

	private static List<Candidate> preferredCandidates(List<Candidate> eligible) {
		List<Candidate> withFreeSlot = new ArrayList<>(eligible.size());
		List<Candidate> notEjected = new ArrayList<>(eligible.size());
		for (Candidate candidate : eligible) {
			if (candidate.hasFreeSlot()) {
				withFreeSlot.add(candidate);
			}
			if (!candidate.isEjected()) {
				notEjected.add(candidate);
			}
		}
		if (!withFreeSlot.isEmpty()) {
			return withFreeSlot;
		}
		return notEjected.isEmpty() ? eligible : notEjected;
	}

	private TargetState stateOf(TargetId target) {
		return this.states.computeIfAbsent(target, TargetState::new);
	}

	private void expirePeers(long nowNanos) {
		this.peerReports.values().removeIf((report) -> {
			boolean expired = nowNanos - report.receivedNanos > this.settings.peerTtlNanos();
			if (expired) {
				report.inFlight.forEach((target, count) -> stateOf(target).addPeersInFlight(-count));
			}
			return expired;
		});
	}

	private void pruneStates(long nowNanos) {
		if (this.states.size() <= this.registry.size() + MAX_UNLISTED_STATES) {
			return;
		}
		Set<TargetId> live = new HashSet<>();
		this.registry.liveTargets(nowNanos).forEach((announcement) -> live.add(announcement.target()));
		this.states.entrySet()
			.removeIf((entry) -> entry.getValue().outstanding() == 0 && !live.contains(entry.getKey()));
	}

	private static Announcement targetOf(Attempt attempt) {
		return ((Placement.Local) attempt.placement()).target();
	}

	private record PeerReport(Map<TargetId, Integer> inFlight, long receivedNanos) {

	}

}
