package org.vanillatrestle.internal.select;

import org.vanillatrestle.internal.target.Announcement;

/**
 * A target of a pool that may be selected, with its announcement and a snapshot of its
 * load.
 * <p>
 * Valid until the pool's candidates are next replaced. Not thread safe: owned by the VM's
 * event loop.
 */
public final class Candidate {

	private final Announcement announcement;

	private final TargetState state;

	private double slots;

	private int outstanding;

	private boolean ejected;

	Candidate(Announcement announcement, TargetState state) {
		this.announcement = announcement;
		this.state = state;
	}

	public Announcement announcement() {
		return this.announcement;
	}

	TargetState state() {
		return this.state;
	}

	/**
	 * Returns how many requests the target may process at the same time. The number is
	 * reduced during slow start, but is at least 1.
	 * @return the number of requests
	 */
	double slots() {
		return this.slots;
	}

	int outstanding() {
		return this.outstanding;
	}

	/**
	 * Returns the ratio of requests in flight to slots, counting the request about to be
	 * dispatched as in flight.
	 * @return the ratio, 1 if that request takes the last slot
	 */
	double utilisation() {
		return (this.outstanding + 1) / this.slots;
	}

	double freeSlots() {
		return this.ejected ? 0 : Math.max(0, this.slots - this.outstanding);
	}

	boolean hasFreeSlot() {
		return !this.ejected && this.outstanding + 1 <= this.slots;
	}

	boolean isEjected() {
		return this.ejected;
	}

	boolean isUnreachable() {
		return this.state.isUnreachable();
	}

	void setEjected(boolean newEjected) {
		this.ejected = newEjected;
	}

	/**
	 * Updates the snapshot of the target's load.
	 * @param relativeSlowStartShare the target's slow-start share divided by the highest
	 * slow-start share in the pool
	 */
	void refresh(double relativeSlowStartShare) {
		this.outstanding = this.state.outstanding();
		this.slots = Math.max(1, this.announcement.capacity().maxRunning() * relativeSlowStartShare);
	}

}
