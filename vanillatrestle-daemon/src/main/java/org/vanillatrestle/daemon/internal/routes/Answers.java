package org.vanillatrestle.daemon.internal.routes;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.vanillatrestle.daemon.internal.pipeline.AnswerHead;
import org.vanillatrestle.daemon.internal.pipeline.AnswerSink;

/**
 * Writes short whole answers.
 * <p>
 * Stateless and thread safe.
 */
public final class Answers {

	private Answers() {
	}

	/**
	 * Answers with a JSON document.
	 * @param sink where the answer goes
	 * @param status the HTTP status
	 * @param document the document
	 */
	public static void json(AnswerSink sink, int status, JsonNode document) {
		text(sink, status, "application/json", document.toString());
	}

	/**
	 * Answers with a text.
	 * @param sink where the answer goes
	 * @param status the HTTP status
	 * @param contentType the text's type
	 * @param text the text
	 */
	public static void text(AnswerSink sink, int status, String contentType, String text) {
		HttpHeaders headers = new DefaultHttpHeaders();
		headers.set(HttpHeaderNames.CONTENT_TYPE, contentType);
		sink.answer(new AnswerHead(status, headers), text.getBytes(StandardCharsets.UTF_8));
	}

}
