package org.vanillatrestle.internal.select;

import org.vanillatrestle.TargetId;
import org.vanillatrestle.internal.target.Announcement;

/**
 * The state of one target as known to this VM: its requests in flight, latency and
 * failures.
 * <p>
 * The load that a target reports is out of date when it arrives. Requests in flight are
 * therefore counted at this VM and its peers, and a report only adds the requests that
 * none of these VMs accounts for. Not thread safe: owned by the VM's event loop.
 */
final class TargetState {

	private static final double SAMPLE_WEIGHT = 0.2;

	private static final double MIN_FIRST_BYTE_RATIO = 0.1;

	private static final double MAX_FIRST_BYTE_RATIO = 20;

	private static final double SLOWNESS_HALF_LIFE_NANOS = 10e9;

	private final long idHash;

	private int ownInFlight;

	private int peersInFlight;

	// The requests in flight of this VM and its peers at the target's last report.
	private int knownAtLastReport;

	// The highest number of these requests since the last report.
	private int peakKnownSinceReport;

	// The requests in the last report that neither this VM nor its peers account for.
	private int unattributedInFlight;

	private long incarnation = Long.MIN_VALUE;

	private long sequence = Long.MIN_VALUE;

	private long slowStartSinceNanos;

	private boolean inSlowStart;

	// Moving average of measured to expected time to the first byte, 1 if as expected.
	private double slowness = 1;

	private long slownessMeasuredNanos;

	private int consecutiveFailures;

	private int ejectionsInRow;

	private long ejectedUntilNanos;

	private boolean ejected;

	private long noFirstByteSinceNanos;

	// This VM's requests that wait for the first byte of their answer.
	private int awaitingFirstByte;

	private boolean unreachable;

	TargetState(TargetId target) {
		this.idHash = RendezvousHashing.mix(target.value().hashCode() * 0x9e3779b97f4a7c15L);
	}

	long idHash() {
		return this.idHash;
	}

	int ownInFlight() {
		return this.ownInFlight;
	}

	/**
	 * Returns the estimated number of requests that the target is processing or has
	 * queued: those of this VM and its peers, plus those in the target's last report that
	 * none of these VMs accounts for.
	 * @return the number of requests
	 */
	int outstanding() {
		return Math.max(0, this.ownInFlight + this.peersInFlight + this.unattributedInFlight);
	}

	/**
	 * Applies an announcement of the target unless it has already been applied.
	 * @param announcement the announcement
	 * @param newPool whether the pool has had no targets so far, so that its first
	 * targets need no slow start
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void applyAnnouncement(Announcement announcement, boolean newPool, long nowNanos) {
		if (announcement.incarnation() != this.incarnation) {
			boolean restarted = this.incarnation != Long.MIN_VALUE;
			this.incarnation = announcement.incarnation();
			this.sequence = Long.MIN_VALUE;
			this.unattributedInFlight = 0;
			this.inSlowStart = restarted || !newPool;
			this.slowStartSinceNanos = nowNanos;
			this.slowness = 1;
			this.consecutiveFailures = 0;
		}
		if (announcement.sequence() == this.sequence) {
			return;
		}
		this.sequence = announcement.sequence();
		this.unreachable = false;
		int reported = announcement.load().running() + announcement.load().queued();
		int knownInFlight = this.ownInFlight + this.peersInFlight;
		int attributed = Math.max(this.peakKnownSinceReport, Math.max(knownInFlight, this.knownAtLastReport));
		this.unattributedInFlight = Math.max(0, reported - attributed);
		this.knownAtLastReport = knownInFlight;
		this.peakKnownSinceReport = knownInFlight;
	}

	void addPeersInFlight(int change) {
		this.peersInFlight += change;
		this.peakKnownSinceReport = Math.max(this.peakKnownSinceReport, this.ownInFlight + this.peersInFlight);
	}

	void recordDispatch(long nowNanos) {
		this.ownInFlight++;
		this.peakKnownSinceReport = Math.max(this.peakKnownSinceReport, this.ownInFlight + this.peersInFlight);
		if (this.awaitingFirstByte == 0) {
			this.noFirstByteSinceNanos = nowNanos;
		}
		this.awaitingFirstByte++;
	}

	void recordFirstByte(long nowNanos) {
		this.awaitingFirstByte = Math.max(0, this.awaitingFirstByte - 1);
		this.noFirstByteSinceNanos = nowNanos;
	}

	void recordEndWithoutFirstByte() {
		this.awaitingFirstByte = Math.max(0, this.awaitingFirstByte - 1);
	}

	void recordEnd() {
		this.ownInFlight--;
	}

	/**
	 * Returns how long the target has sent no first byte of an answer while at least one
	 * of this VM's requests was waiting for it.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return nanoseconds, 0 if no request is waiting for its first byte
	 */
	long nanosWithoutFirstByte(long nowNanos) {
		return (this.awaitingFirstByte > 0) ? nowNanos - this.noFirstByteSinceNanos : 0;
	}

	long incarnation() {
		return this.incarnation;
	}

	double slowness() {
		return this.slowness;
	}

	/**
	 * Returns the slowness, which approaches 1 as the last measurement ages.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the ratio of measured to expected time to the first byte
	 */
	double slowness(long nowNanos) {
		double age = Math.max(0, nowNanos - this.slownessMeasuredNanos);
		return 1 + (this.slowness - 1) * SLOWNESS_HALF_LIFE_NANOS / (SLOWNESS_HALF_LIFE_NANOS + age);
	}

	void recordFirstByteRatio(double ratio, long nowNanos) {
		double bounded = Math.min(MAX_FIRST_BYTE_RATIO, Math.max(MIN_FIRST_BYTE_RATIO, ratio));
		double current = slowness(nowNanos);
		this.slowness = current + SAMPLE_WEIGHT * (bounded - current);
		this.slownessMeasuredNanos = nowNanos;
	}

	void recordSuccess() {
		this.consecutiveFailures = 0;
		this.ejectionsInRow = 0;
	}

	/**
	 * Counts a failed attempt, and ejects the target once enough attempts have failed in
	 * a row.
	 * @param settings when and for how long to eject the target
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void recordFailure(SelectionSettings settings, long nowNanos) {
		this.consecutiveFailures++;
		if (this.consecutiveFailures >= settings.failuresToEject()) {
			eject(settings, nowNanos);
		}
	}

	/**
	 * Excludes the target from selection until its next announcement.
	 */
	void markUnreachable() {
		this.unreachable = true;
	}

	boolean isUnreachable() {
		return this.unreachable;
	}

	/**
	 * Ejects the target unless it is already ejected. Each ejection since the last
	 * success lasts twice as long as the one before, up to the longest duration. After
	 * the ejection a single failure ejects the target again.
	 * @param settings the durations and the number of failures
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void eject(SelectionSettings settings, long nowNanos) {
		if (this.ejected && nowNanos < this.ejectedUntilNanos) {
			return;
		}
		int doublings = Math.min(this.ejectionsInRow, 16);
		long durationNanos = Math.min(settings.maxEjectionNanos(), settings.ejectionNanos() << doublings);
		this.ejectionsInRow++;
		this.ejected = true;
		this.ejectedUntilNanos = nowNanos + durationNanos;
		this.consecutiveFailures = settings.failuresToEject() - 1;
	}

	/**
	 * Returns whether the target is ejected. Starts its slow start if the ejection has
	 * just ended.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return whether it is ejected
	 */
	boolean isEjected(long nowNanos) {
		if (!this.ejected) {
			return false;
		}
		if (nowNanos >= this.ejectedUntilNanos) {
			this.ejected = false;
			this.inSlowStart = true;
			this.slowStartSinceNanos = nowNanos;
			this.noFirstByteSinceNanos = nowNanos;
		}
		return this.ejected;
	}

	long ejectedUntilNanos() {
		return this.ejectedUntilNanos;
	}

	/**
	 * Returns the share of its slots that the target may use, which grows during slow
	 * start.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @param slowStartNanos the duration of a slow start in nanoseconds
	 * @return the share, from 0.1 to 1
	 */
	double slowStartShare(long nowNanos, long slowStartNanos) {
		if (!this.inSlowStart || slowStartNanos <= 0) {
			return 1;
		}
		double share = (double) (nowNanos - this.slowStartSinceNanos) / slowStartNanos;
		if (share >= 1) {
			this.inSlowStart = false;
			return 1;
		}
		return Math.max(0.1, share);
	}

}
