package org.vanillatrestle.internal.select;

import org.vanillatrestle.TargetId;
import org.vanillatrestle.internal.target.Announcement;

/**
 * What this VM knows of one target: requests in flight, speed and failures.
 * <p>
 * Reported load lags, so requests in flight are counted from what this VM and its peers
 * hold; a report only adds work that none of them explains. Not thread safe: owned by the
 * VM's event loop.
 */
final class TargetState {

	private static final double SAMPLE_WEIGHT = 0.2;

	private static final double MIN_RATIO = 0.1;

	private static final double MAX_RATIO = 20;

	private static final double SLOWNESS_HALF_LIFE_NANOS = 10e9;

	private final long idHash;

	private int ownInFlight;

	private int peersInFlight;

	private int knownAtReport;

	private int knownPeak;

	private int unexplained;

	private long incarnation = Long.MIN_VALUE;

	private long sequence = Long.MIN_VALUE;

	private long backSinceNanos;

	private boolean rampsUp;

	private double slowness = 1;

	private long slownessNanos;

	private int failuresInRow;

	private int ejections;

	private long ejectedUntilNanos;

	private boolean ejectedNow;

	private long silentSinceNanos;

	private int silent;

	private boolean unreachable;

	TargetState(TargetId target) {
		this.idHash = Rendezvous.mix(target.value().hashCode() * 0x9e3779b97f4a7c15L);
	}

	long idHash() {
		return this.idHash;
	}

	int ownInFlight() {
		return this.ownInFlight;
	}

	/**
	 * Returns the corrected number of requests that the target holds.
	 * @return requests
	 */
	int outstanding() {
		return Math.max(0, this.ownInFlight + this.peersInFlight + this.unexplained);
	}

	/**
	 * Takes the target's report unless it was taken already.
	 * @param announcement the report
	 * @param firstView whether the pool was never seen before, so that its targets need
	 * no slow start
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void observe(Announcement announcement, boolean firstView, long nowNanos) {
		if (announcement.incarnation() != this.incarnation) {
			boolean known = this.incarnation != Long.MIN_VALUE;
			this.incarnation = announcement.incarnation();
			this.sequence = Long.MIN_VALUE;
			this.unexplained = 0;
			this.rampsUp = known || !firstView;
			this.backSinceNanos = nowNanos;
			this.slowness = 1;
			this.failuresInRow = 0;
		}
		if (announcement.sequence() == this.sequence) {
			return;
		}
		this.sequence = announcement.sequence();
		this.unreachable = false;
		int reported = announcement.load().running() + announcement.load().queued();
		int known = this.ownInFlight + this.peersInFlight;
		int explained = Math.max(this.knownPeak, Math.max(known, this.knownAtReport));
		this.unexplained = Math.max(0, reported - explained);
		this.knownAtReport = known;
		this.knownPeak = known;
	}

	void peersInFlightChanged(int change) {
		this.peersInFlight += change;
		this.knownPeak = Math.max(this.knownPeak, this.ownInFlight + this.peersInFlight);
	}

	void dispatched(long nowNanos) {
		this.ownInFlight++;
		this.knownPeak = Math.max(this.knownPeak, this.ownInFlight + this.peersInFlight);
		if (this.silent == 0) {
			this.silentSinceNanos = nowNanos;
		}
		this.silent++;
	}

	void answered(long nowNanos) {
		this.silent = Math.max(0, this.silent - 1);
		this.silentSinceNanos = nowNanos;
	}

	void withdrawn() {
		this.silent = Math.max(0, this.silent - 1);
	}

	void finished() {
		this.ownInFlight--;
	}

	/**
	 * Returns for how long requests have waited without any first byte.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return nanoseconds, 0 if none waits
	 */
	long silentNanos(long nowNanos) {
		return (this.silent > 0) ? nowNanos - this.silentSinceNanos : 0;
	}

	long incarnation() {
		return this.incarnation;
	}

	double slowness() {
		return this.slowness;
	}

	double slowness(long nowNanos) {
		double age = Math.max(0, nowNanos - this.slownessNanos);
		return 1 + (this.slowness - 1) * SLOWNESS_HALF_LIFE_NANOS / (SLOWNESS_HALF_LIFE_NANOS + age);
	}

	void measured(double ratio, long nowNanos) {
		double bounded = Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio));
		double current = slowness(nowNanos);
		this.slowness = current + SAMPLE_WEIGHT * (bounded - current);
		this.slownessNanos = nowNanos;
	}

	void succeeded() {
		this.failuresInRow = 0;
		this.ejections = 0;
	}

	/**
	 * Counts a failure.
	 * @param settings when and for how long to eject
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void failed(SelectSettings settings, long nowNanos) {
		this.failuresInRow++;
		if (this.failuresInRow >= settings.failuresToEject()) {
			eject(settings, nowNanos);
		}
	}

	/**
	 * Takes the target out until it announces itself again.
	 */
	void unreachable() {
		this.unreachable = true;
	}

	boolean isUnreachable() {
		return this.unreachable;
	}

	void eject(SelectSettings settings, long nowNanos) {
		if (this.ejectedNow && nowNanos < this.ejectedUntilNanos) {
			return;
		}
		int doublings = Math.min(this.ejections, 16);
		long durationNanos = Math.min(settings.maxEjectionNanos(), settings.ejectionNanos() << doublings);
		this.ejections++;
		this.ejectedNow = true;
		this.ejectedUntilNanos = nowNanos + durationNanos;
		this.failuresInRow = settings.failuresToEject() - 1;
	}

	boolean ejected(long nowNanos) {
		if (!this.ejectedNow) {
			return false;
		}
		if (nowNanos >= this.ejectedUntilNanos) {
			this.ejectedNow = false;
			this.rampsUp = true;
			this.backSinceNanos = nowNanos;
			this.silentSinceNanos = nowNanos;
		}
		return this.ejectedNow;
	}

	long ejectedUntilNanos() {
		return this.ejectedUntilNanos;
	}

	double ramp(long nowNanos, long slowStartNanos) {
		if (!this.rampsUp || slowStartNanos <= 0) {
			return 1;
		}
		double share = (double) (nowNanos - this.backSinceNanos) / slowStartNanos;
		if (share >= 1) {
			this.rampsUp = false;
			return 1;
		}
		return Math.max(0.1, share);
	}

}
