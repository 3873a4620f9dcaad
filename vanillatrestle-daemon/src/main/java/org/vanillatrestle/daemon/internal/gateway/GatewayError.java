package org.vanillatrestle.daemon.internal.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Locale;
import java.util.Set;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.Verdict;
import org.vanillatrestle.daemon.internal.pipeline.AnswerHead;
import org.vanillatrestle.daemon.internal.pipeline.AnswerSink;
import org.vanillatrestle.daemon.internal.pipeline.HeaderNames;

/**
 * The errors that this VM itself returns for a request on a declared route.
 * <p>
 * Immutable and thread safe.
 */
enum GatewayError {

	/** This VM has not received a declaration yet. */
	NOT_DECLARED(503, "This VM has not received a declaration yet. Retry shortly."),

	/** No declared route matches the request. */
	NO_ROUTE(404, "No declared route matches this host and path. Check both against the declaration."),

	/** The route's service is not declared. */
	NO_SERVICE(503, "This VM does not know the route's service yet. Retry shortly."),

	/** No target has free capacity in time. */
	NO_CAPACITY(503, "No target of the service can respond in time. Retry later."),

	/** The deadline passed before the request was sent. */
	OUT_OF_TIME(503, "The deadline of the request passed before a target had free capacity."),

	/** Engines crashed under requests with a part of the prompt. */
	PART_SUSPENDED(503,
			"Engines crashed when they began to answer prompts with a part of this one. The request has not "
					+ "run; such prompts are tried again after the given time."),

	/** This VM shuts down before the request is certain to end. */
	SHUTTING_DOWN(503, "This VM is shutting down. The request has not run; use another VM."),

	/** All attempts ended with the guarantee that the request has not run. */
	NOT_RUN(503, "The targets did not accept the request. It has not run; retry later."),

	/** A target failed before its response was complete. */
	TARGET_FAILED(502, "The target failed before its response was complete. The request may have run."),

	/** The deadline passed while a target was processing the request. */
	TIMED_OUT(504, "The target did not respond in time. The request may have run.");

	private static final double MILLIS_PER_SECOND = 1_000;

	private final int status;

	private final String message;

	GatewayError(int status, String message) {
		this.status = status;
		this.message = message;
	}

	int status() {
		return this.status;
	}

	Verdict verdict() {
		return (this.status == 502 || this.status == 504) ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
	}

	/**
	 * Sends this error to the caller.
	 * @param sink receives the response
	 * @param retryAfterMillis the time after which to retry, -1 to omit it
	 */
	void respond(AnswerSink sink, long retryAfterMillis) {
		respond(sink, retryAfterMillis, new DefaultHttpHeaders());
	}

	/**
	 * Sends this error for a request that was not sent to any target.
	 * @param sink receives the response
	 * @param retryAfterMillis the time after which to retry, -1 to omit it
	 * @param forwarded whether another VM forwarded the request
	 */
	void respondUnsent(AnswerSink sink, long retryAfterMillis, boolean forwarded) {
		if (forwarded) {
			respondToVm(sink, retryAfterMillis, Set.of(), true);
			return;
		}
		respond(sink, retryAfterMillis);
	}

	/**
	 * Sends this error to the VM that forwarded the request.
	 * @param sink receives the response
	 * @param retryAfterMillis the time after which to retry, -1 to omit it
	 * @param reachedTargets the targets that the request may have reached here
	 * @param hasMoreTargets whether another target of this region could still take it
	 */
	void respondToVm(AnswerSink sink, long retryAfterMillis, Collection<TargetId> reachedTargets,
			boolean hasMoreTargets) {
		HttpHeaders headers = new DefaultHttpHeaders();
		RemoteError.write(headers, this, reachedTargets, hasMoreTargets);
		respond(sink, retryAfterMillis, headers);
	}

	private void respond(AnswerSink sink, long retryAfterMillis, HttpHeaders headers) {
		headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
		headers.set(HeaderNames.VERDICT, verdict().name());
		ObjectNode body = JsonNodeFactory.instance.objectNode();
		body.put("code", name());
		body.put("message", this.message);
		body.put("verdict", verdict().name());
		if (retryAfterMillis >= 0 && verdict() == Verdict.NOT_RUN) {
			headers.set(HttpHeaderNames.RETRY_AFTER,
					String.format(Locale.ROOT, "%.2f", retryAfterMillis / MILLIS_PER_SECOND));
			body.put("retryAfterMillis", retryAfterMillis);
		}
		sink.answer(new AnswerHead(this.status, headers), body.toString().getBytes(StandardCharsets.UTF_8));
	}

}
