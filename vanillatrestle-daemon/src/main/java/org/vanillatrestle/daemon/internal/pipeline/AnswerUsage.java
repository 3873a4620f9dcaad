package org.vanillatrestle.daemon.internal.pipeline;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Reads from a whole chat completion how many tokens it used.
 * <p>
 * Stateless and thread safe.
 */
final class AnswerUsage {

	private static final JsonMapper MAPPER = new JsonMapper();

	private AnswerUsage() {
	}

	/**
	 * Returns the tokens of an answer.
	 * @param body the answer's body
	 * @return the tokens, 0 if the answer does not say
	 */
	static int completionTokens(byte[] body) {
		try {
			JsonNode top = MAPPER.readTree(body);
			return (top != null) ? Math.max(0, top.path("usage").path("completion_tokens").asInt(0)) : 0;
		}
		catch (IOException ex) {
			return 0;
		}
	}

}
