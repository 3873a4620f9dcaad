package org.vanillatrestle.daemon.internal.routes;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.vanillatrestle.daemon.internal.pipeline.AnswerHead;
import org.vanillatrestle.daemon.internal.pipeline.AnswerSink;

/**
 * Writes answers whose complete body is already in memory.
 * <p>
 * Stateless and thread safe.
 */
public final class AnswerWriter {

	private AnswerWriter() {
	}

	/**
	 * Writes a JSON document as the answer.
	 * @param sink receives the answer
	 * @param status the HTTP status
	 * @param document the body
	 */
	public static void writeJson(AnswerSink sink, int status, JsonNode document) {
		writeText(sink, status, "application/json", document.toString());
	}

	/**
	 * Writes a text as the answer.
	 * @param sink receives the answer
	 * @param status the HTTP status
	 * @param contentType the value of the Content-Type header
	 * @param text the text
	 */
	public static void writeText(AnswerSink sink, int status, String contentType, String text) {
		HttpHeaders headers = new DefaultHttpHeaders();
		headers.set(HttpHeaderNames.CONTENT_TYPE, contentType);
		sink.answer(new AnswerHead(status, headers), text.getBytes(StandardCharsets.UTF_8));
	}

}
