package org.vanillatrestle.internal.fleet;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.vanillatrestle.TargetId;

/**
 * Decides when a VM sends an update of its in-flight load to the other VMs.
 * <p>
 * Invariant: the load known to the other VMs differs from the actual load only by
 * rounding and by changes since the last check. Sender and receivers apply the same decay
 * to the prompt token rate, so the decay alone does not require an update. Not thread
 * safe.
 */
public final class LoadUpdateScheduler {

	/**
	 * Interval at which an unchanged load is sent again; several repeats fit into the
	 * time after which the receivers discard a load.
	 */
	private static final long REPEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/**
	 * Rates are sent as whole tokens per second, so a difference of one is a rounding
	 * error.
	 */
	private static final long ROUNDING_TOKENS_PER_SECOND = 1;

	private Map<TargetId, InFlightLoad> lastSent = Map.of();

	private long lastSentNanos;

	/**
	 * Creates an instance that has sent no load yet.
	 * @param nowNanos the monotonic time
	 */
	public LoadUpdateScheduler(long nowNanos) {
		this.lastSentNanos = nowNanos;
	}

	/**
	 * Tells whether an update must be sent to the other VMs.
	 * @param loads the current load of this VM; a target that is not listed has no load
	 * @param nowNanos the monotonic time
	 * @return whether the load differs from the last one sent, or the last one is so old
	 * that the receivers may soon discard it
	 */
	public boolean isDue(List<InFlightLoad> loads, long nowNanos) {
		if (nowNanos - this.lastSentNanos > REPEAT_NANOS) {
			return true;
		}
		Map<TargetId, InFlightLoad> current = byTarget(loads);
		return loads.stream().anyMatch((load) -> differs(load, this.lastSent.get(load.target()), nowNanos))
				|| this.lastSent.values()
					.stream()
					.anyMatch((load) -> differs(current.get(load.target()), load, nowNanos));
	}

	private boolean differs(InFlightLoad current, InFlightLoad last, long nowNanos) {
		TargetId target = (current != null) ? current.target() : last.target();
		InFlightLoad nothing = new InFlightLoad(target, 0, 0, 0);
		InFlightLoad now = (current != null) ? current : nothing;
		InFlightLoad known = (last != null) ? last.decayedBy(nowNanos - this.lastSentNanos) : nothing;
		return !now.withPromptRate(0).equals(known.withPromptRate(0))
				|| Math.abs(now.promptTokensPerSecond() - known.promptTokensPerSecond()) > ROUNDING_TOKENS_PER_SECOND;
	}

	/**
	 * Records that an update is being sent.
	 * @param loads the loads in the update
	 * @param nowNanos the monotonic time
	 */
	public void recordSent(List<InFlightLoad> loads, long nowNanos) {
		this.lastSent = byTarget(loads);
		this.lastSentNanos = nowNanos;
	}

	private static Map<TargetId, InFlightLoad> byTarget(List<InFlightLoad> loads) {
		return loads.stream().collect(Collectors.toMap(InFlightLoad::target, Function.identity()));
	}

}
