package org.vanillatrestle.internal.sendaway;

import org.vanillatrestle.internal.request.PoolSummary;

/**
 * The latest summary of a pool in another data centre, adjusted for the requests that
 * this VM has forwarded there since.
 * <p>
 * Not thread safe: confined to the VM's event loop.
 */
final class RemotePool {

	private PoolSummary summary;

	private long updatedNanos;

	private int forwardedSinceUpdate;

	private long backOffUntilNanos = Long.MIN_VALUE;

	private boolean forwardingActive;

	private boolean unreachable;

	void updateSummary(PoolSummary newSummary, long nowNanos) {
		this.summary = newSummary;
		this.updatedNanos = nowNanos;
		this.forwardedSinceUpdate = 0;
		this.unreachable = false;
	}

	PoolSummary summary() {
		return this.summary;
	}

	boolean isUsable(long nowNanos, long ttlNanos) {
		return !this.unreachable && nowNanos - this.updatedNanos <= ttlNanos && nowNanos >= this.backOffUntilNanos
				&& this.summary.totalSlots() > 0;
	}

	/**
	 * Returns this VM's share of the free slots. The slots are divided equally among the
	 * VMs of this data centre because all of them receive the same summary.
	 * @param sharingVms the number of VMs that share the slots, including this one
	 * @param pendingRequests the number of this VM's requests that may be forwarded there
	 * first
	 * @return the number of free slots left for this VM; may be negative
	 */
	double freeSlotShare(int sharingVms, int pendingRequests) {
		return (double) this.summary.freeSlots() / sharingVms - this.forwardedSinceUpdate - pendingRequests;
	}

	/**
	 * Returns whether this VM can forward a request to the pool: either this VM's share
	 * contains a free slot, or any slot is free and the request is the first one that
	 * this VM forwards since the last summary.
	 * @param sharingVms the number of VMs that share the slots, including this one
	 * @param pendingRequests the number of this VM's requests that may be forwarded there
	 * first
	 * @return {@code true} if a request can be forwarded
	 */
	boolean canTakeRequest(int sharingVms, int pendingRequests) {
		return freeSlotShare(sharingVms, pendingRequests) >= 1
				|| (this.summary.freeSlots() >= 1 && this.forwardedSinceUpdate == 0 && pendingRequests == 0);
	}

	boolean isUsedBelow(int percent, int sharingVms) {
		double used = this.summary.totalSlots() - this.summary.freeSlots()
				+ (double) this.forwardedSinceUpdate * sharingVms;
		return used * 100 < (double) this.summary.totalSlots() * percent;
	}

	void requestForwarded() {
		this.forwardedSinceUpdate++;
	}

	/**
	 * Makes the pool unusable until its next summary arrives.
	 */
	void markUnreachable() {
		this.unreachable = true;
	}

	void backOffUntil(long untilNanos) {
		this.backOffUntilNanos = untilNanos;
	}

	boolean forwardingActive() {
		return this.forwardingActive;
	}

	void forwardingActive(boolean newActive) {
		this.forwardingActive = newActive;
	}

}
