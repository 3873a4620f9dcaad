package org.vanillatrestle.daemon.protocol;

/**
 * What a target's answer says besides its body.
 * <p>
 * Immutable and thread safe.
 *
 * @param notRun whether the target promises that it has not run the request
 * @param signed whether the answer bears the target's signature
 * @param encoded whether the body is not as the target made it
 * @param leaving whether the target is leaving and wants no new requests
 * @param pauseMillis for how long the target wants no requests from this VM, 0 if it
 * asked for no pause
 */
public record AnswerFacts(boolean notRun, boolean signed, boolean encoded, boolean leaving, long pauseMillis) {
}
