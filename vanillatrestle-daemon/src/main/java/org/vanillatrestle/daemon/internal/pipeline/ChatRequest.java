package org.vanillatrestle.daemon.internal.pipeline;

import java.io.IOException;

import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * What the router needs to know of a chat completion in OpenAI form.
 * <p>
 * Immutable and thread safe.
 *
 * @param model the model asked for
 * @param stream whether the answer is a stream of events
 * @param maxTokens the most tokens of the answer, 0 if not given
 * @param promptTokens an estimate of the prompt's length in tokens
 * @param prefixHash a hash of the prompt's beginning
 */
record ChatRequest(String model, boolean stream, int maxTokens, int promptTokens, long prefixHash) {

	private static final JsonMapper MAPPER = JsonMapper.builder()
		.enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
		.build();

	private static final int CHARACTERS_PER_TOKEN = 4;

	private static final int PREFIX_CHARACTERS = 1024;

	private static final int MAX_TOKENS = 1_000_000;

	/**
	 * Reads a request body.
	 * @param body the body
	 * @return the parts that matter
	 * @throws RefusedException if the body is no chat completion request
	 */
	static ChatRequest parse(byte[] body) throws RefusedException {
		JsonNode top = readTree(body);
		JsonNode model = top.path("model");
		if (!model.isTextual()) {
			throw invalid("the field model must be a text");
		}
		JsonNode messages = top.path("messages");
		if (!messages.isArray() || messages.isEmpty()) {
			throw invalid("the field messages must be a list with at least one message");
		}
		JsonNode stream = top.path("stream");
		if (!stream.isMissingNode() && !stream.isNull() && !stream.isBoolean()) {
			throw invalid("the field stream must be true or false");
		}
		PromptMeter meter = new PromptMeter();
		messages.forEach((message) -> meter.add(message.path("content")));
		return new ChatRequest(model.textValue(), stream.asBoolean(), maxTokens(top),
				meter.characters / CHARACTERS_PER_TOKEN + 1, meter.prefixHash());
	}

	private static JsonNode readTree(byte[] body) throws RefusedException {
		try {
			JsonNode top = MAPPER.readTree(body);
			if (top != null && top.isObject()) {
				return top;
			}
		}
		catch (IOException ex) {
			throw invalid("the body is not valid JSON");
		}
		throw invalid("the body must be a JSON object");
	}

	private static int maxTokens(JsonNode top) throws RefusedException {
		JsonNode value = top.has("max_completion_tokens") ? top.path("max_completion_tokens") : top.path("max_tokens");
		if (value.isMissingNode() || value.isNull()) {
			return 0;
		}
		if (!value.isInt() || value.intValue() < 1 || value.intValue() > MAX_TOKENS) {
			throw invalid("the field max_tokens must be a whole number from 1 to " + MAX_TOKENS);
		}
		return value.intValue();
	}

	private static RefusedException invalid(String reason) {
		return new RefusedException(Refusals.badRequest("CHAT_REQUEST_INVALID", "Not a chat completion request: "
				+ reason + ". Example: {\"model\": \"m\", \"messages\": [{\"role\": \"user\", \"content\": \"…\"}]}"));
	}

	/**
	 * Counts characters and hashes the beginning of a prompt. Not thread safe.
	 */
	private static final class PromptMeter {

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
			int room = PREFIX_CHARACTERS - this.prefix.length();
			this.prefix.append(text, 0, Math.min(room, text.length()));
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
