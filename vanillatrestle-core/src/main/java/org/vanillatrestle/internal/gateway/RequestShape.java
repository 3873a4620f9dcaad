package org.vanillatrestle.internal.gateway;

import java.util.List;

import org.vanillatrestle.internal.declaration.DeclaredService;

/**
 * What the choice of a target depends on.
 * <p>
 * Immutable and thread safe.
 *
 * @param service the service that is to serve the request
 * @param promptTokens the tokens of the prompt, 0 if there is none
 * @param maxOutputTokens the most tokens of the answer, 0 if not told
 * @param parts the parts of the prompt in order, empty if not told
 */
public record RequestShape(DeclaredService service, int promptTokens, int maxOutputTokens, List<PromptPart> parts) {

	public RequestShape {
		parts = List.copyOf(parts);
	}

	/**
	 * The parts that other requests may share: all but the last, which belongs to the
	 * request or its session.
	 * @return the shared parts in order
	 */
	List<PromptPart> sharedParts() {
		return this.parts.isEmpty() ? this.parts : this.parts.subList(0, this.parts.size() - 1);
	}

}
