package org.vanillatrestle.daemon.protocol;

import java.util.Optional;

import org.vanillatrestle.TargetId;
import org.vanillatrestle.internal.target.TargetAddress;

/**
 * The values that this VM sets in a request that it sends to a target or another VM.
 * <p>
 * Immutable and thread safe.
 *
 * @param expectedTarget the only target that may run the request, empty if the request
 * goes to another VM
 * @param remainingMillis the time in milliseconds for which this VM waits for the answer
 * @param priority the rank among the target's requests, 0 for the most urgent, empty to
 * send none
 * @param resumeAfterEvent the number of the last event that the caller received, -1 for
 * none
 * @param copyFrom the address of the target from which shared parts of the prompt are
 * copied, empty for none
 */
public record OutgoingRequestOptions(Optional<TargetId> expectedTarget, long remainingMillis,
		Optional<Integer> priority, long resumeAfterEvent, Optional<TargetAddress> copyFrom) {
}
