package org.vanillatrestle.daemon.protocol;

import java.util.List;

import org.vanillatrestle.internal.gateway.PromptPart;

/**
 * Metadata that a caller's request carries.
 * <p>
 * Immutable and thread safe.
 *
 * @param requestId the id of this attempt by the caller, {@code null} if it has none
 * @param deadlineMillis the time in milliseconds that the caller waits, -1 if not stated
 * @param resumeAfterEvent the number of the last event that the caller received, -1 for
 * none
 * @param promptTokens the number of tokens in the prompt, 0 if not stated
 * @param maxOutputTokens the maximum number of tokens in the answer, 0 if not stated
 * @param promptParts the parts of the prompt in order, empty if not stated
 */
public record CallDetails(String requestId, long deadlineMillis, long resumeAfterEvent, int promptTokens,
		int maxOutputTokens, List<PromptPart> promptParts) {

	public CallDetails {
		promptParts = List.copyOf(promptParts);
	}

}
