package org.vanillatrestle.internal.sendaway;

import org.vanillatrestle.internal.request.RegionSummary;

/**
 * One data centre's last summary of a pool, corrected by what was sent there since.
 * <p>
 * Not thread safe: owned by the VM's event loop.
 */
final class Remote {

	private RegionSummary summary;

	private long heardNanos;

	private int sentSince;

	private long leftAloneUntilNanos = Long.MIN_VALUE;

	private boolean active;

	private boolean lost;

	void heard(RegionSummary newSummary, long nowNanos) {
		this.summary = newSummary;
		this.heardNanos = nowNanos;
		this.sentSince = 0;
		this.lost = false;
	}

	RegionSummary summary() {
		return this.summary;
	}

	boolean usable(long nowNanos, long ttlNanos) {
		return !this.lost && nowNanos - this.heardNanos <= ttlNanos && nowNanos >= this.leftAloneUntilNanos
				&& this.summary.totalSlots() > 0;
	}

	/**
	 * Returns this VM's part of the free slots, since its peers see the same summary.
	 * @param sharers the VMs that share them, this one included
	 * @param pending requests of this VM that may be sent there before
	 * @return requests
	 */
	double free(int sharers, int pending) {
		return (double) this.summary.freeSlots() / sharers - this.sentSince - pending;
	}

	boolean mayTakeOne(int sharers, int pending) {
		return free(sharers, pending) >= 1 || (this.summary.freeSlots() >= 1 && this.sentSince == 0 && pending == 0);
	}

	boolean usedBelow(int percent, int sharers) {
		double used = this.summary.totalSlots() - this.summary.freeSlots() + (double) this.sentSince * sharers;
		return used * 100 < (double) this.summary.totalSlots() * percent;
	}

	void sent() {
		this.sentSince++;
	}

	/**
	 * Leaves the data centre alone until it is heard again.
	 */
	void lost() {
		this.lost = true;
	}

	void leaveAlone(long untilNanos) {
		this.leftAloneUntilNanos = untilNanos;
	}

	boolean active() {
		return this.active;
	}

	void active(boolean newActive) {
		this.active = newActive;
	}

}
