package org.vanillatrestle.internal.select;

import org.vanillatrestle.internal.target.Announcement;

/**
 * A target of a pool with what this VM knows of it at one moment.
 * <p>
 * Not thread safe: owned by the VM's event loop. Valid until the pool is viewed again.
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
	 * Returns the requests that the target may hold now, fewer during slow start.
	 * @return requests
	 */
	double slots() {
		return this.slots;
	}

	int outstanding() {
		return this.outstanding;
	}

	/**
	 * Returns the requests in flight relative to the slots, this VM's next one included.
	 * @return 1 where the next request takes the last slot
	 */
	double use() {
		return (this.outstanding + 1) / this.slots;
	}

	double free() {
		return this.ejected ? 0 : Math.max(0, this.slots - this.outstanding);
	}

	boolean hasRoom() {
		return !this.ejected && this.outstanding + 1 <= this.slots;
	}

	boolean ejected() {
		return this.ejected;
	}

	boolean unreachable() {
		return this.state.isUnreachable();
	}

	void eject(boolean newEjected) {
		this.ejected = newEjected;
	}

	/**
	 * Takes over what is known now.
	 * @param ramp the target's share during slow start, relative to the pool's highest
	 */
	void refresh(double ramp) {
		this.outstanding = this.state.outstanding();
		this.slots = Math.max(1, this.announcement.capacity().maxRunning() * ramp);
	}

}
