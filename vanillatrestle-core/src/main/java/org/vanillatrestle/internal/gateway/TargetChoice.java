package org.vanillatrestle.internal.gateway;

import java.util.Optional;

import org.vanillatrestle.TargetId;
import org.vanillatrestle.internal.fleet.InFlightLoad;

/**
 * The target chosen for a request, with the estimates that the choice was based on.
 * <p>
 * Not thread safe.
 *
 * @param target the target
 * @param waitMillis the estimated time in milliseconds until the answer begins
 * @param unreadTokens the prompt tokens that the target has to read (prefill), because
 * they are not cached
 * @param readingShare the share of its time that the target spends reading prompts,
 * estimated from the tokens recently sent to it
 * @param slowReader whether pauses in the target's streams are so long, or their pace is
 * so slow, that reading more prompts makes streams late
 * @param load the load that all VMs together had in flight at the target
 * @param loadAgeMillis the age in milliseconds of the load reported by the other VMs, -1
 * if none has reported yet
 * @param copyFrom the target from which cached shared parts of the prompt are copied
 * instead of being read, empty if no other target caches more of them
 * @param runnerUp the target ranked second, {@code null} if there was no other
 */
public record TargetChoice(GatewayTarget target, long waitMillis, long unreadTokens, double readingShare,
		boolean slowReader, InFlightLoad load, long loadAgeMillis, Optional<GatewayTarget> copyFrom,
		TargetId runnerUp) {

	/**
	 * Returns the share of its time that the target spends reading prompts, as far as
	 * this delays its streams.
	 * @return the reading share, 0 if the streams are not delayed
	 */
	public double harmfulReadingShare() {
		return this.slowReader ? this.readingShare : 0;
	}

}
