package org.vanillatrestle.daemon.internal.pipeline;

import java.io.IOException;

import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * The properties of an OpenAI chat completion request that routing needs.
 * <p>
 * Immutable and thread safe.
 *
 * @param model the requested model
 * @param stream whether the caller asked for a stream of server-sent events
 * @param maxTokens the maximum answer length in tokens; 0 if the request sets none
 * @param promptTokens the estimated prompt length in tokens
 * @param prefixHash a hash of the start of the prompt
 */
record ChatRequest(String model, boolean stream, int maxTokens, int promptTokens, long prefixHash) {

	private static final JsonMapper MAPPER = JsonMapper.builder()
		.enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
		.build();

	private static final int CHARACTERS_PER_TOKEN = 4;

	private static final int MAX_PREFIX_CHARACTERS = 1024;

	private static final int MAX_ANSWER_TOKENS = 1_000_000;

	/**
	 * Parses a request body.
	 * @param body the body
	 * @return the properties of the request
	 * @throws RefusedException if the body is not a valid chat completion request
	 */
	static ChatRequest parse(byte[] body) throws RefusedException {
		JsonNode root = readTree(body);
		JsonNode model = root.path("model");
		if (!model.isTextual()) {
			throw invalid("the field model must be a string");
		}
		JsonNode messages = root.path("messages");
		if (!messages.isArray() || messages.isEmpty()) {
			throw invalid("the field messages must be an array with at least one message");
		}
		JsonNode stream = root.path("stream");
		if (!stream.isMissingNode() && !stream.isNull() && !stream.isBoolean()) {
			throw invalid("the field stream must be true or false");
		}
		PromptScanner scanner = new PromptScanner();
		messages.forEach((message) -> scanner.add(message.path("content")));
		return new ChatRequest(model.textValue(), stream.asBoolean(), maxTokens(root),
				scanner.characters / CHARACTERS_PER_TOKEN + 1, scanner.prefixHash());
	}

	private static JsonNode readTree(byte[] body) throws RefusedException {
		try {
			JsonNode root = MAPPER.readTree(body);
			if (root != null && root.isObject()) {
				return root;
			}
		}
		catch (IOException ex) {
			throw invalid("the body is not valid JSON");
		}
		throw invalid("the body must be a JSON object");
	}

	private static int maxTokens(JsonNode root) throws RefusedException {
		JsonNode value = root.has("max_completion_tokens") ? root.path("max_completion_tokens")
				: root.path("max_tokens");
		if (value.isMissingNode() || value.isNull()) {
			return 0;
		}
		if (!value.isInt() || value.intValue() < 1 || value.intValue() > MAX_ANSWER_TOKENS) {
			throw invalid("the field max_tokens must be an integer from 1 to " + MAX_ANSWER_TOKENS);
		}
		return value.intValue();
	}

	private static RefusedException invalid(String reason) {
		return new RefusedException(Refusals.badRequest("CHAT_REQUEST_INVALID", "Not a valid chat completion request: "
				+ reason + ". Example: {\"model\": \"m\", \"messages\": [{\"role\": \"user\", \"content\": \"…\"}]}"));
	}

	/**
	 * Counts the characters of a prompt and hashes its start. Not thread safe.
	 */
	private static final class PromptScanner {

		private final StringBuilder prefix = new StringBuilder();

		private int characters;

		void add(JsonNode content) {
			if (content.isTextual()) {
				addText(content.textValue());
				return;
			}
			content.forEach((part) -> addText(part.path("text").asText("")));
		}

		private void addText(String text) {
			this.characters += text.length();
			int remaining = MAX_PREFIX_CHARACTERS - this.prefix.length();
			this.prefix.append(text, 0, Math.min(remaining, text.length()));
		}

		long prefixHash() {
			long hash = 0xcbf29ce484222325L;
			for (int i = 0; i < this.prefix.length(); i++) {
				hash = (hash ^ this.prefix.charAt(i)) * 0x100000001b3L;
			}
			return hash;
		}

	}

}
