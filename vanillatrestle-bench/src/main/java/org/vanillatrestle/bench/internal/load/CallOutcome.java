package org.vanillatrestle.bench.internal.load;

import io.netty.handler.codec.http.HttpResponse;

/**
 * What a caller saw of one request.
 * <p>
 * Immutable and thread safe.
 *
 * @param kind how the request ended
 * @param status the HTTP status, 0 if no answer began
 * @param verdict the verdict of an error, empty for none
 * @param requestId the id that the gateway gave the request, empty if none arrived
 * @param attempts how many attempts the gateway says it made, 0 if it doesn't say
 * @param region the region that answered, empty if none is named
 * @param replayed whether the answer was stored by an earlier attempt
 */
public record CallOutcome(AnswerKind kind, int status, String verdict, String requestId, int attempts, String region,
		boolean replayed) {

	static CallOutcome of(Exchange exchange) {
		HttpResponse head = exchange.head();
		if (head == null) {
			return new CallOutcome(exchange.kind(), 0, "", "", 0, "", false);
		}
		return new CallOutcome(exchange.kind(), head.status().code(), head.headers().get("Vanillatrestle-Verdict", ""),
				head.headers().get("Vanillatrestle-Request-Id", ""),
				head.headers().getInt("Vanillatrestle-Attempts", 0), head.headers().get("Vanillatrestle-Region", ""),
				Boolean.parseBoolean(head.headers().get("Vanillatrestle-Replayed")));
	}

}
