package org.vanillatrestle.internal.fleet;

import java.util.HashMap;
import java.util.Map;

import org.vanillatrestle.VmId;

/**
 * Tracks how far the declared state of an entry VM, and that of each control VM it has a
 * link to, is behind the newest state that any of them has.
 * <p>
 * Invariant: a VM is behind from the moment at which the oldest state that it lacks
 * became known here. Not thread safe.
 */
public final class StateLagTracker {

	private final StateTimeline timeline = new StateTimeline();

	private final Map<VmId, Long> controlIndexes = new HashMap<>();

	private long ownIndex;

	/**
	 * Records the state that a control VM reports.
	 * @param controlVm the control VM
	 * @param index the index of its state
	 * @param nowNanos the monotonic time
	 */
	public void report(VmId controlVm, long index, long nowNanos) {
		this.controlIndexes.put(controlVm, index);
		this.timeline.add(index, nowNanos);
	}

	/**
	 * Records the state that is in force on this VM.
	 * @param index the index of the state
	 * @param nowNanos the monotonic time
	 */
	public void apply(long index, long nowNanos) {
		this.ownIndex = index;
		this.timeline.add(index, nowNanos);
	}

	/**
	 * Removes a control VM to which there is no longer a link.
	 * @param controlVm the control VM
	 */
	public void remove(VmId controlVm) {
		this.controlIndexes.remove(controlVm);
	}

	/**
	 * Returns for how long this VM has lacked a state.
	 * @param nowNanos the monotonic time
	 * @return the time in nanoseconds, 0 if this VM has the newest state known
	 */
	public long lagNanos(long nowNanos) {
		return this.timeline.lagNanos(this.ownIndex, nowNanos);
	}

	/**
	 * Returns whether this VM has lacked a state for longer than a state takes to spread.
	 * @param nowNanos the monotonic time
	 * @return whether this VM is behind
	 */
	public boolean isBehind(long nowNanos) {
		return this.timeline.isBehind(this.ownIndex, nowNanos);
	}

	/**
	 * Returns the index of the newest state that this VM or any control VM has reported.
	 * @return the index, 0 if there is none
	 */
	public long newestIndex() {
		return this.timeline.latestIndex();
	}

	/**
	 * Returns the state that a control VM reported last.
	 * @param controlVm the control VM
	 * @return the index of its state, 0 if it has reported none
	 */
	public long indexOf(VmId controlVm) {
		return this.controlIndexes.getOrDefault(controlVm, 0L);
	}

}
