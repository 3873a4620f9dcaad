package org.vanillatrestle.bench.internal.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Makes JSON bodies and whole HTTP responses.
 * <p>
 * Stateless and thread safe.
 */
public final class Responses {

	private static final JsonMapper MAPPER = new JsonMapper();

	private Responses() {
	}

	/**
	 * Starts a JSON object.
	 * @return an empty object
	 */
	public static ObjectNode object() {
		return MAPPER.createObjectNode();
	}

	/**
	 * Encodes JSON.
	 * @param node the document
	 * @return its bytes
	 */
	public static byte[] encode(JsonNode node) {
		try {
			return MAPPER.writeValueAsBytes(node);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("a JSON tree must be encodable", ex);
		}
	}

	/**
	 * Makes a whole JSON response.
	 * @param status the status
	 * @param node the body
	 * @return the response
	 */
	public static FullHttpResponse json(HttpResponseStatus status, JsonNode node) {
		ByteBuf body = Unpooled.wrappedBuffer(encode(node));
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
		response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
		return response;
	}

	/**
	 * Makes a whole JSON error response.
	 * @param status the status
	 * @param message what went wrong
	 * @return the response
	 */
	public static FullHttpResponse error(HttpResponseStatus status, String message) {
		return json(status, object().put("error", message));
	}

}
