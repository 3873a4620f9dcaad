package org.vanillatrestle.internal.fleet;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.vanillatrestle.TargetId;

/**
 * Decides when a VM tells the others again what it has in flight.
 * <p>
 * Invariant: what others know of this VM differs from the truth by no more than a look's
 * age and rounding. Tokens read fade alike on both sides, so that they alone are no news.
 * Not thread safe.
 */
public final class LoadNews {

	/**
	 * How often loads are told though they don't change, several times before the others
	 * would forget them.
	 */
	private static final long REPEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/**
	 * Rates are told in whole tokens, so that a difference of one is none.
	 */
	private static final long ROUNDING_TOKENS_PER_SECOND = 1;

	private Map<TargetId, FlightLoad> told = Map.of();

	private long toldNanos;

	/**
	 * Creates news of which nothing was told yet.
	 * @param nowNanos the monotonic time
	 */
	public LoadNews(long nowNanos) {
		this.toldNanos = nowNanos;
	}

	/**
	 * Tells whether the others have to be told.
	 * @param loads what this VM has in flight now; targets not named have none
	 * @param nowNanos the monotonic time
	 * @return whether they don't know it, or may forget it
	 */
	public boolean isDue(List<FlightLoad> loads, long nowNanos) {
		if (nowNanos - this.toldNanos > REPEAT_NANOS) {
			return true;
		}
		Map<TargetId, FlightLoad> current = byTarget(loads);
		return loads.stream().anyMatch((load) -> differs(load, this.told.get(load.target()), nowNanos))
				|| this.told.values().stream().anyMatch((load) -> differs(current.get(load.target()), load, nowNanos));
	}

	private boolean differs(FlightLoad current, FlightLoad last, long nowNanos) {
		TargetId target = (current != null) ? current.target() : last.target();
		FlightLoad nothing = new FlightLoad(target, 0, 0, 0);
		FlightLoad now = (current != null) ? current : nothing;
		FlightLoad known = (last != null) ? last.fadedBy(nowNanos - this.toldNanos) : nothing;
		return !now.withReading(0).equals(known.withReading(0))
				|| Math.abs(now.readTokensPerSecond() - known.readTokensPerSecond()) > ROUNDING_TOKENS_PER_SECOND;
	}

	/**
	 * Notes that the others are told now.
	 * @param loads what they are told
	 * @param nowNanos the monotonic time
	 */
	public void told(List<FlightLoad> loads, long nowNanos) {
		this.told = byTarget(loads);
		this.toldNanos = nowNanos;
	}

	private static Map<TargetId, FlightLoad> byTarget(List<FlightLoad> loads) {
		return loads.stream().collect(Collectors.toMap(FlightLoad::target, Function.identity()));
	}

}
