package org.vanillatrestle.daemon.internal.pipeline;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Reads the number of completion tokens from a complete chat completion.
 * <p>
 * Stateless and thread safe.
 */
final class AnswerUsage {

	private static final JsonMapper MAPPER = new JsonMapper();

	private AnswerUsage() {
	}

	/**
	 * Returns the number of completion tokens that an answer reports.
	 * @param body the answer's body
	 * @return the number of tokens, or 0 if the answer doesn't report it
	 */
	static int completionTokens(byte[] body) {
		try {
			JsonNode root = MAPPER.readTree(body);
			return (root != null) ? Math.max(0, root.path("usage").path("completion_tokens").asInt(0)) : 0;
		}
		catch (IOException ex) {
			return 0;
		}
	}

}
