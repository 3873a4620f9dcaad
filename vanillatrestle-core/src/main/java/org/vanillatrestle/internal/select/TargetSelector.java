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
 * Chooses targets of this data centre and learns from what becomes of the attempts.
 * <p>
 * Never chooses a tried target or one that the registry does not list. Not thread safe:
 * owned by the VM's event loop.
 */
public final class TargetSelector {

	private static final long VIEW_NANOS = 50_000_000;

	private static final int SPARE_STATES = 64;

	private static final double MIN_FIRST_BYTE_TIMEOUT_NANOS = 2e9;

	private static final double FIRST_BYTE_TIMEOUT_FACTOR = 8;

	private final SelectSettings settings;

	private final TargetRegistry registry;

	private final UniformRandomProvider random;

	private final Map<TargetId, TargetState> states = new HashMap<>();

	private final PrefixMemory prefixes = new PrefixMemory();

	private final Map<PoolKey, Pool> pools = new HashMap<>();

	private final Map<VmId, PeerReport> peers = new HashMap<>();

	private long changes;

	public TargetSelector(SelectSettings settings, TargetRegistry registry, UniformRandomProvider random) {
		this.settings = settings;
		this.registry = registry;
		this.random = random;
	}

	/**
	 * Views a pool.
	 * @param key the pool
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the pool, valid until the next call
	 */
	public Pool pool(PoolKey key, long nowNanos) {
		Pool pool = this.pools.computeIfAbsent(key, Pool::new);
		if (pool.needsView(this.registry.version(), nowNanos, VIEW_NANOS)) {
			expirePeers(nowNanos);
			this.changes++;
			pool.view(candidates(pool, nowNanos), this.registry.version(), nowNanos);
			pruneStates(nowNanos);
		}
		pool.refresh(this.settings, this.changes, nowNanos);
		return pool;
	}

	/**
	 * Chooses a target.
	 * @param pool the request's pool, just viewed
	 * @param request the request
	 * @param tried targets that had an attempt of this request
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the target, or empty if none is left
	 */
	public Optional<Announcement> choose(Pool pool, PolicyRequest request, Set<TargetId> tried, long nowNanos) {
		List<Candidate> untried = untried(pool, request, tried);
		if (untried.isEmpty()) {
			return Optional.empty();
		}
		List<Candidate> usable = usable(untried);
		TargetCosts costs = new TargetCosts(this.settings, nowNanos, Rendezvous.first(request.prefixHash(), untried),
				this.prefixes.holders(request.prefixHash()));
		Candidate chosen = this.settings.mode().choose(pool, usable, request, costs, this.random);
		return Optional.of(chosen.announcement());
	}

	/**
	 * Takes what a peer of the data centre holds in flight, replacing its earlier report.
	 * @param peer the peer
	 * @param inFlight its requests in flight by target
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void peerInFlight(VmId peer, Map<TargetId, Integer> inFlight, long nowNanos) {
		this.changes++;
		PeerReport former = this.peers.put(peer, new PeerReport(Map.copyOf(inFlight), nowNanos));
		if (former != null) {
			former.inFlight.forEach((target, count) -> state(target).peersInFlightChanged(-count));
		}
		inFlight.forEach((target, count) -> state(target).peersInFlightChanged(count));
	}

	/**
	 * Returns the number of peers whose reports count.
	 * @return peers
	 */
	public int peers() {
		return this.peers.size();
	}

	/**
	 * Returns what this VM holds in flight, for its peers.
	 * @return requests by target, without targets that have none
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
	 * Notes an attempt that starts.
	 * @param attempt the attempt, placed locally
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void dispatched(Attempt attempt, long nowNanos) {
		this.changes++;
		Announcement target = target(attempt);
		TargetState state = state(target.target());
		Pool pool = this.pools.computeIfAbsent(attempt.request().pool(), Pool::new);
		boolean cached = this.prefixes.holders(attempt.request().prefixHash()).contains(state);
		attempt.units(TargetCosts.units(attempt.request(), cached));
		attempt.expectedFirstByteNanos((long) (pool.nanosPerUnit() * attempt.units()));
		this.prefixes.sent(attempt.request().prefixHash(), state);
		state.dispatched(nowNanos);
	}

	/**
	 * Notes the first byte of an attempt's answer.
	 * @param attempt the attempt, placed locally
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void firstByte(Attempt attempt, long nowNanos) {
		TargetState state = state(target(attempt).target());
		long takenNanos = nowNanos - attempt.startedNanos();
		this.changes++;
		state.answered(nowNanos);
		state.measured((double) takenNanos / Math.max(1, attempt.expectedFirstByteNanos()), nowNanos);
		this.pools.computeIfAbsent(attempt.request().pool(), Pool::new).firstByteMeasured(attempt.units(), takenNanos);
	}

	/**
	 * Notes the end of an attempt.
	 * @param attempt the attempt, placed locally
	 * @param outcome how it ended
	 * @param tokens the tokens of the answer
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void finished(Attempt attempt, AttemptOutcome outcome, long tokens, long nowNanos) {
		TargetState state = state(target(attempt).target());
		this.changes++;
		state.finished();
		if (!attempt.firstByteSeen()) {
			state.withdrawn();
		}
		if (outcome == AttemptOutcome.UNREACHABLE) {
			state.unreachable();
		}
		if (outcome.speaksAgainstTarget()) {
			state.failed(this.settings, nowNanos);
		}
		if (outcome == AttemptOutcome.COMPLETED) {
			state.succeeded();
			this.pools.computeIfAbsent(attempt.request().pool(), Pool::new)
				.serviceMeasured(nowNanos - attempt.startedNanos(), tokens);
		}
	}

	/**
	 * Returns the usual tokens of an answer.
	 * @param key the pool
	 * @return tokens
	 */
	public double answerTokens(PoolKey key) {
		return this.pools.computeIfAbsent(key, Pool::new).answerTokens();
	}

	/**
	 * Returns how long to wait for the first byte of an answer.
	 * @param request the request
	 * @return nanoseconds
	 */
	public long firstByteTimeoutNanos(PolicyRequest request) {
		Pool pool = this.pools.computeIfAbsent(request.pool(), Pool::new);
		double usualNanos = pool.nanosPerUnit() * TargetCosts.units(request, false);
		return (long) Math.max(MIN_FIRST_BYTE_TIMEOUT_NANOS, FIRST_BYTE_TIMEOUT_FACTOR * usualNanos);
	}

	private List<Candidate> candidates(Pool pool, long nowNanos) {
		List<Candidate> result = new ArrayList<>();
		for (Announcement announcement : this.registry.open(nowNanos)) {
			if (pool.key().contains(announcement)) {
				TargetState state = state(announcement.target());
				state.observe(announcement, pool.firstView(), nowNanos);
				result.add(new Candidate(announcement, state));
			}
		}
		return result;
	}

	/**
	 * Returns the pools of the targets that are alive.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the pools
	 */
	public Set<PoolKey> livePools(long nowNanos) {
		Set<PoolKey> result = new HashSet<>();
		this.registry.open(nowNanos).forEach((announcement) -> result.addAll(PoolKey.of(announcement)));
		return result;
	}

	private static List<Candidate> untried(Pool pool, PolicyRequest request, Set<TargetId> tried) {
		List<Candidate> result = new ArrayList<>(pool.candidates().size());
		for (Candidate candidate : pool.candidates()) {
			CustomerId owner = candidate.announcement().customer();
			boolean serves = owner == null || owner.equals(request.customer());
			if (serves && !candidate.unreachable() && !tried.contains(candidate.announcement().target())) {
				result.add(candidate);
			}
		}
		return result;
	}

	private static List<Candidate> usable(List<Candidate> untried) {
		List<Candidate> withRoom = new ArrayList<>(untried.size());
		List<Candidate> healthy = new ArrayList<>(untried.size());
		for (Candidate candidate : untried) {
			if (candidate.hasRoom()) {
				withRoom.add(candidate);
			}
			if (!candidate.ejected()) {
				healthy.add(candidate);
			}
		}
		if (!withRoom.isEmpty()) {
			return withRoom;
		}
		return healthy.isEmpty() ? untried : healthy;
	}

	private TargetState state(TargetId target) {
		return this.states.computeIfAbsent(target, TargetState::new);
	}

	private void expirePeers(long nowNanos) {
		this.peers.values().removeIf((report) -> {
			boolean expired = nowNanos - report.heardNanos > this.settings.peerTtlNanos();
			if (expired) {
				report.inFlight.forEach((target, count) -> state(target).peersInFlightChanged(-count));
			}
			return expired;
		});
	}

	private void pruneStates(long nowNanos) {
		if (this.states.size() <= this.registry.size() + SPARE_STATES) {
			return;
		}
		Set<TargetId> live = new HashSet<>();
		this.registry.live(nowNanos).forEach((announcement) -> live.add(announcement.target()));
		this.states.entrySet()
			.removeIf((entry) -> entry.getValue().outstanding() == 0 && !live.contains(entry.getKey()));
	}

	private static Announcement target(Attempt attempt) {
		return ((Placement.Local) attempt.placement()).target();
	}

	private record PeerReport(Map<TargetId, Integer> inFlight, long heardNanos) {

	}

}
