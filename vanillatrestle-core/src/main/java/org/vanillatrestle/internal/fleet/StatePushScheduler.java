package org.vanillatrestle.internal.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.declaration.DeclaredState;

/**
 * Decides when a control VM sends the declared state to an entry VM that has an older
 * state.
 * <p>
 * The nearest control VM sends the state immediately. Each of the others waits for a
 * delay that grows with its rank, counted from the oldest change that the entry VM lacks;
 * by then the entry VM usually has the state. Invariant: later changes never postpone a
 * send, because a nearer control VM that lags may send nothing while changes keep coming.
 * While the last copy that a control VM sent to an entry VM may still be in transit, the
 * nearest control VM sends that VM only a newer state and the others send it nothing,
 * because repeated copies of a large state would saturate slow links. Not thread safe.
 */
public final class StatePushScheduler {

	/**
	 * How much longer each control VM waits than the next nearer one. Spans a few
	 * heartbeats, in which the entry VM reports that a nearer control VM has sent the
	 * state.
	 */
	private static final long DELAY_PER_RANK_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

	/**
	 * The same delay for an entry VM that has no state at all and therefore cannot serve
	 * requests. Longer than one heartbeat.
	 */
	private static final long FIRST_STATE_DELAY_PER_RANK_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

	/**
	 * All control VMs beyond this rank wait as long as the one of this rank, so that a
	 * change takes effect within 3 s although all nearer ones lag.
	 */
	private static final int MAX_DELAYED_RANK = 2;

	/**
	 * How long a copy may take to arrive: the time for the largest state seen,
	 * compressed, on a link saturated by other traffic.
	 */
	private static final long RESEND_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

	private final Map<VmId, Sent> sent = new HashMap<>();

	private final StateTimeline timeline = new StateTimeline();

	/**
	 * Records a new declared state.
	 * @param newIndex the index of the state
	 * @param nowNanos the monotonic time
	 */
	public void stateChanged(long newIndex, long nowNanos) {
		this.timeline.add(newIndex, nowNanos);
	}

	/**
	 * Tells whether the state must be sent now, and if so records it as sent.
	 * @param vm the entry VM
	 * @param rank the number of control VMs that are nearer to the entry VM
	 * @param knownIndex the index of the state that the entry VM has
	 * @param nowNanos the monotonic time
	 * @return whether to send
	 */
	public boolean isDue(VmId vm, int rank, long knownIndex, long nowNanos) {
		if (knownIndex >= this.timeline.latestIndex() || isInTransit(vm, rank, knownIndex, nowNanos)
				|| lagNanos(knownIndex, nowNanos) < delayNanos(rank, knownIndex)) {
			return false;
		}
		this.sent.put(vm, new Sent(this.timeline.latestIndex(), nowNanos));
		return true;
	}

	private boolean isInTransit(VmId vm, int rank, long knownIndex, long nowNanos) {
		Sent last = this.sent.get(vm);
		if (last == null || knownIndex >= last.index || nowNanos - last.sentNanos >= RESEND_AFTER_NANOS) {
			return false;
		}
		return last.index == this.timeline.latestIndex() || rank > 0;
	}

	private static long delayNanos(int rank, long knownIndex) {
		long delayPerRankNanos = (knownIndex == DeclaredState.NONE.index()) ? FIRST_STATE_DELAY_PER_RANK_NANOS
				: DELAY_PER_RANK_NANOS;
		return Math.min(rank, MAX_DELAYED_RANK) * delayPerRankNanos;
	}

	/**
	 * Returns for how long an entry VM has lacked a state.
	 * @param knownIndex the index of the state that the entry VM has
	 * @param nowNanos the monotonic time
	 * @return the time in nanoseconds since this VM got the oldest state that the entry
	 * VM lacks, 0 if it lacks none
	 */
	public long lagNanos(long knownIndex, long nowNanos) {
		return this.timeline.lagNanos(knownIndex, nowNanos);
	}

	/**
	 * Returns whether an entry VM has lacked a state for longer than a state takes to
	 * spread.
	 * @param knownIndex the index of the state that the entry VM has
	 * @param nowNanos the monotonic time
	 * @return whether the entry VM is behind
	 */
	public boolean isBehind(long knownIndex, long nowNanos) {
		return this.timeline.isBehind(knownIndex, nowNanos);
	}

	/**
	 * Removes a VM to which there is no longer a link.
	 * @param vm the VM
	 */
	public void remove(VmId vm) {
		this.sent.remove(vm);
	}

	private record Sent(long index, long sentNanos) {
	}

}
