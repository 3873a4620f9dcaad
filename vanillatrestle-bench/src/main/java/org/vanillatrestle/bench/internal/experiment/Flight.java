package org.vanillatrestle.bench.internal.experiment;

import java.util.HashSet;
import java.util.Set;

import org.vanillatrestle.TargetId;
import org.vanillatrestle.Verdict;

/**
 * A caller's request at its entry VM, from its arrival to its outcome; subclasses decide
 * where attempts go.
 * <p>
 * Ends once: answered or lost. Not thread safe.
 */
abstract class Flight {

	private final World world;

	private final SimulatedRequest request;

	private final Set<TargetId> tried = new HashSet<>();

	private Verdict verdict = Verdict.NOT_RUN;

	private int attempts;

	private boolean sentAway;

	private boolean ended;

	private boolean firstSeen;

	private long firstNanos;

	private boolean prefixHit;

	private Runnable cancelAttempt = () -> {
	};

	Flight(World world, SimulatedRequest request) {
		this.world = world;
		this.request = request;
		world.loop().at(request.deadlineNanos(), this::expire);
	}

	/**
	 * Starts the next attempt, or loses the request.
	 */
	abstract void next();

	/**
	 * Decides what follows a failed attempt.
	 * @param refused whether the target refused it
	 */
	abstract void failed(boolean refused);

	/**
	 * Releases what the request holds.
	 */
	abstract void ended();

	World world() {
		return this.world;
	}

	SimulatedRequest request() {
		return this.request;
	}

	Set<TargetId> tried() {
		return this.tried;
	}

	Verdict verdict() {
		return this.verdict;
	}

	int attempts() {
		return this.attempts;
	}

	boolean isEnded() {
		return this.ended;
	}

	void attempt(boolean away, Runnable cancel) {
		this.attempts++;
		this.cancelAttempt = cancel;
		this.world.outcomes().attempted(this.request);
		if (away && !this.sentAway) {
			this.sentAway = true;
			this.world.outcomes().sentAway(this.request);
		}
	}

	void attemptFailed(Verdict attemptVerdict, boolean refused) {
		this.verdict = this.verdict.and(attemptVerdict);
		if (!this.ended) {
			failed(refused);
		}
	}

	void first(boolean hit) {
		if (!this.firstSeen) {
			this.firstSeen = true;
			this.firstNanos = this.world.loop().nowNanos() + this.world.deployment().clientDelayNanos();
		}
		this.prefixHit = hit;
	}

	void answered(int tokens) {
		if (end()) {
			long nowNanos = this.world.loop().nowNanos() + this.world.deployment().clientDelayNanos();
			this.world.outcomes().answered(this.request, this.firstNanos, nowNanos, tokens, this.prefixHit);
		}
	}

	void lose(boolean refused) {
		if (end()) {
			this.world.outcomes().lost(this.request, refused);
		}
	}

	private void expire() {
		if (!this.ended) {
			this.cancelAttempt.run();
			lose(false);
		}
	}

	private boolean end() {
		boolean first = !this.ended;
		this.ended = true;
		if (first) {
			ended();
		}
		return first;
	}

}
