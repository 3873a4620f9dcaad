package org.vanillatrestle.daemon.protocol;

import java.util.List;

import org.vanillatrestle.internal.gateway.PromptPart;

/**
 * What a caller's request says of itself.
 * <p>
 * Immutable and thread safe.
 *
 * @param requestId the id of this attempt of the caller, {@code null} if there is none
 * @param deadlineMillis how long the caller waits, -1 if not told
 * @param resumeAfterEvent the last event that the caller has, -1 for none
 * @param promptTokens the tokens of the prompt, 0 if not told
 * @param maxOutputTokens the most tokens of the answer, 0 if not told
 * @param promptParts the parts of the prompt in order, empty if not told
 */
public record CallDetails(String requestId, long deadlineMillis, long resumeAfterEvent, int promptTokens,
		int maxOutputTokens, List<PromptPart> promptParts) {

	public CallDetails {
		promptParts = List.copyOf(promptParts);
	}

}
