package org.vanillatrestle.bench.internal.load;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.vanillatrestle.bench.internal.http.Responses;

/**
 * The kinds of request that the load generator sends, each with its check of the answer.
 * <p>
 * Immutable and thread safe.
 */
public enum RequestKind {

	/**
	 * A chat completion by server-sent events.
	 */
	STREAM {
		@Override
		FullHttpRequest request(RequestTemplate template, long number, String key) {
			return chat(template, number, true);
		}

		@Override
		AnswerCheck check(RequestTemplate template, long number) {
			return new StreamCheck(template.expected(number), template.maxTokens());
		}
	},

	/**
	 * A chat completion in one piece.
	 */
	WHOLE {
		@Override
		FullHttpRequest request(RequestTemplate template, long number, String key) {
			return chat(template, number, false);
		}

		@Override
		AnswerCheck check(RequestTemplate template, long number) {
			return new BodyCheck("\"" + template.expected(number).first(template.maxTokens()) + "\"");
		}
	},

	/**
	 * A read of a balance, which is idempotent.
	 */
	BALANCE {
		@Override
		FullHttpRequest request(RequestTemplate template, long number, String key) {
			return build(template, HttpMethod.GET, template.servicePrefix() + "/balances/" + account(number),
					Unpooled.EMPTY_BUFFER);
		}

		@Override
		AnswerCheck check(RequestTemplate template, long number) {
			return new BodyCheck("\"account\":\"" + account(number) + "\"");
		}
	},

	/**
	 * A payout, which must run at most once.
	 */
	PAYOUT {
		@Override
		FullHttpRequest request(RequestTemplate template, long number, String key) {
			ObjectNode body = Responses.object().put("account", account(number)).put("amount", 1);
			FullHttpRequest request = build(template, HttpMethod.POST, template.servicePrefix() + "/payouts",
					Unpooled.wrappedBuffer(Responses.encode(body)));
			request.headers().set("Idempotency-Key", key);
			return request;
		}

		@Override
		AnswerCheck check(RequestTemplate template, long number) {
			return new BodyCheck("\"account\":\"" + account(number) + "\"");
		}
	};

	private static final int ACCOUNTS = 1000;

	/**
	 * Makes a request.
	 * @param template what is asked for
	 * @param number the request's number
	 * @param key the idempotency key of a call that must run at most once
	 * @return the request
	 */
	abstract FullHttpRequest request(RequestTemplate template, long number, String key);

	/**
	 * Makes the check of the answer.
	 * @param template what is asked for
	 * @param number the request's number
	 * @return the check
	 */
	abstract AnswerCheck check(RequestTemplate template, long number);

	private static String account(long number) {
		return "dairy-" + number % ACCOUNTS;
	}

	private static FullHttpRequest chat(RequestTemplate template, long number, boolean stream) {
		ObjectNode body = Responses.object()
			.put("model", template.model())
			.put("max_tokens", template.maxTokens())
			.put("stream", stream);
		body.putArray("messages").addObject().put("role", "user").put("content", template.content(number));
		return build(template, HttpMethod.POST, "/v1/chat/completions", Unpooled.wrappedBuffer(Responses.encode(body)));
	}

	private static FullHttpRequest build(RequestTemplate template, HttpMethod method, String path, ByteBuf body) {
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, body);
		request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
		if (body.isReadable()) {
			request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
		}
		if (!template.bearerKey().isEmpty()) {
			request.headers().set(HttpHeaderNames.AUTHORIZATION, "Bearer " + template.bearerKey());
		}
		return request;
	}

	/**
	 * Checks one answer as its bytes arrive. Not thread safe.
	 */
	interface AnswerCheck {

		/**
		 * Takes bytes of the answer's body.
		 * @param content the bytes, which stay readable for the caller
		 * @return how many tokens they complete
		 */
		int accept(ByteBuf content);

		/**
		 * Returns when the engine sent the latest token.
		 * @return the monotonic time of its machine, 0 if unknown
		 */
		default long lastSentNanos() {
			return 0;
		}

		/**
		 * Tells whether all that was taken is the whole answer.
		 * @return whether it is whole
		 */
		boolean isWhole();

	}

	/**
	 * Checks a body in one piece. Not thread safe.
	 */
	private static final class BodyCheck implements AnswerCheck {

		private final String expected;

		private final StringBuilder body = new StringBuilder();

		BodyCheck(String expected) {
			this.expected = expected;
		}

		@Override
		public int accept(ByteBuf content) {
			this.body.append(content.toString(StandardCharsets.UTF_8));
			return 0;
		}

		@Override
		public boolean isWhole() {
			return this.body.indexOf(this.expected) >= 0 && this.body.charAt(this.body.length() - 1) == '}';
		}

	}

}
