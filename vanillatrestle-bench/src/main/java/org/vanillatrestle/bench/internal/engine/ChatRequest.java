package org.vanillatrestle.bench.internal.engine;

import org.vanillatrestle.InvalidDocumentException;
import org.vanillatrestle.internal.json.JsonObject;

/**
 * The fields of a chat completion request that the stand-in engine uses; it ignores all
 * others.
 * <p>
 * Immutable and thread safe.
 *
 * @param model the model
 * @param prompt all messages joined, each as {@code role: content} and a line feed
 * @param maxTokens how many tokens to generate
 * @param stream whether to answer by server-sent events
 */
public record ChatRequest(String model, String prompt, int maxTokens, boolean stream) {

	private static final int DEFAULT_TOKENS = 16;

	private static final int MAX_TOKENS = 1_000_000;

	/**
	 * Reads a request.
	 * @param json the body
	 * @return the request
	 * @throws InvalidDocumentException if a field that is used is missing or ill-typed
	 */
	public static ChatRequest read(String json) throws InvalidDocumentException {
		JsonObject top = JsonObject.parse(json);
		StringBuilder prompt = new StringBuilder();
		for (JsonObject message : top.objects("messages")) {
			prompt.append(message.string("role", "user"))
				.append(": ")
				.append(message.string("content", ""))
				.append('\n');
		}
		int maxTokens = (int) top.integer("max_tokens", 1, MAX_TOKENS, DEFAULT_TOKENS);
		return new ChatRequest(top.string("model"), prompt.toString(), maxTokens, top.bool("stream", false));
	}

	/**
	 * Returns the text that answers this request.
	 * @return the text
	 */
	public TokenText text() {
		return TokenText.of(this.model, this.prompt);
	}

	/**
	 * Returns the whole answer.
	 * @return its text
	 */
	public String answer() {
		return text().first(this.maxTokens);
	}

}
