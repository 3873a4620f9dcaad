package org.vanillatrestle.daemon.internal.pipeline;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Converts refusals to HTTP headers and a JSON body.
 * <p>
 * Stateless and thread safe.
 */
public final class RefusalWriter {

	private static final long MILLIS_PER_SECOND = 1_000;

	private RefusalWriter() {
	}

	/**
	 * Returns the headers of a refusal.
	 * @param refusal the refusal
	 * @return the headers
	 */
	public static HttpHeaders headers(Refusal refusal) {
		HttpHeaders headers = new DefaultHttpHeaders();
		headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
		headers.set(HeaderNames.VERDICT, refusal.verdict().name());
		if (refusal.retryAfterMillis() >= 0) {
			long seconds = (refusal.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
			headers.set(HttpHeaderNames.RETRY_AFTER, Long.toString(seconds));
		}
		if (refusal.status() == 401) {
			headers.set(HttpHeaderNames.WWW_AUTHENTICATE, "Bearer");
		}
		return headers;
	}

	/**
	 * Returns the JSON body of a refusal.
	 * @param refusal the refusal
	 * @return the body in UTF-8
	 */
	public static byte[] body(Refusal refusal) {
		ObjectNode root = JsonNodeFactory.instance.objectNode();
		root.put("code", refusal.code());
		root.put("message", refusal.message());
		root.put("verdict", refusal.verdict().name());
		if (refusal.attemptVerdict() != refusal.verdict()) {
			root.put("attemptVerdict", refusal.attemptVerdict().name());
		}
		if (refusal.retryAfterMillis() >= 0) {
			root.put("retryAfterMillis", refusal.retryAfterMillis());
		}
		if (!refusal.entries().isEmpty()) {
			ArrayNode entries = root.putArray("entries");
			refusal.entries().forEach(entries::add);
		}
		return root.toString().getBytes(StandardCharsets.UTF_8);
	}

}
