package org.vanillatrestle.bench.internal.engine;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.vanillatrestle.bench.internal.http.Responses;

/**
 * The OpenAI form of chat completions.
 * <p>
 * Stateless and thread safe.
 */
final class ChatJson {

	private static final String ID = "chatcmpl-standin";

	private ChatJson() {
	}

	/**
	 * Writes one chunk of a stream. Its {@code index} is the place of the chunk in the
	 * answer, which a resumed stream continues; {@code sent_nanos} is the monotonic time
	 * of this machine, by which a caller on the same machine can tell the delay of
	 * delivery.
	 * @param chat the request
	 * @param index the chunk's place, from 0
	 * @param text the token's text
	 * @return the chunk as JSON
	 */
	static String chunk(ChatRequest chat, int index, String text) {
		ObjectNode top = top(chat, "chat.completion.chunk").put("index", index).put("sent_nanos", System.nanoTime());
		ObjectNode choice = top.putArray("choices").addObject().put("index", 0);
		choice.putObject("delta").put("content", text);
		choice.putNull("finish_reason");
		return string(top);
	}

	static String lastChunk(ChatRequest chat) {
		ObjectNode top = top(chat, "chat.completion.chunk").put("index", chat.maxTokens());
		ObjectNode choice = top.putArray("choices").addObject().put("index", 0);
		choice.putObject("delta");
		choice.put("finish_reason", "stop");
		addUsage(top, chat);
		return string(top);
	}

	static ObjectNode whole(ChatRequest chat) {
		ObjectNode top = top(chat, "chat.completion");
		ObjectNode choice = top.putArray("choices").addObject().put("index", 0);
		choice.putObject("message").put("role", "assistant").put("content", chat.answer());
		choice.put("finish_reason", "stop");
		addUsage(top, chat);
		return top;
	}

	private static ObjectNode top(ChatRequest chat, String object) {
		return Responses.object().put("id", ID).put("object", object).put("created", 0).put("model", chat.model());
	}

	private static void addUsage(ObjectNode top, ChatRequest chat) {
		long promptTokens = PrefixCache.tokens(chat.prompt());
		top.putObject("usage")
			.put("prompt_tokens", promptTokens)
			.put("completion_tokens", chat.maxTokens())
			.put("total_tokens", promptTokens + chat.maxTokens());
	}

	private static String string(ObjectNode node) {
		return new String(Responses.encode(node), StandardCharsets.UTF_8);
	}

}
