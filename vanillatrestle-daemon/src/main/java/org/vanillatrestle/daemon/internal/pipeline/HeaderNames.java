package org.vanillatrestle.daemon.internal.pipeline;

import io.netty.util.AsciiString;

/**
 * The names of the headers that vanillatrestle defines or reads.
 * <p>
 * Stateless and thread safe.
 */
public final class HeaderNames {

	/**
	 * The request ID, in every answer and in requests to targets.
	 */
	public static final AsciiString REQUEST_ID = AsciiString.cached("Vanillatrestle-Request-Id");

	/**
	 * The region that processed the request.
	 */
	public static final AsciiString REGION = AsciiString.cached("Vanillatrestle-Region");

	/**
	 * The number of attempts made for the request, in answers.
	 */
	public static final AsciiString ATTEMPTS = AsciiString.cached("Vanillatrestle-Attempts");

	/**
	 * The number of the current attempt, in requests to targets.
	 */
	public static final AsciiString ATTEMPT = AsciiString.cached("Vanillatrestle-Attempt");

	/**
	 * Whether the request may have run, in every error answer.
	 */
	public static final AsciiString VERDICT = AsciiString.cached("Vanillatrestle-Verdict");

	/**
	 * The code of the error, in error answers to another VM.
	 */
	public static final AsciiString ERROR = AsciiString.cached("Vanillatrestle-Error");

	/**
	 * The targets that the request may have reached, in error answers to another VM. The
	 * value is empty if it has reached none.
	 */
	public static final AsciiString REACHED_TARGETS = AsciiString.cached("Vanillatrestle-Reached-Targets");

	/**
	 * Whether another target of the region could still take the request, in error answers
	 * to another VM.
	 */
	public static final AsciiString MORE_TARGETS = AsciiString.cached("Vanillatrestle-More-Targets");

	/**
	 * The target that answers, in answers to another VM. A VM removes it before it passes
	 * the answer on.
	 */
	public static final AsciiString ANSWERING_TARGET = AsciiString.cached("Vanillatrestle-Answering-Target");

	/**
	 * The targets to which the request must not be sent again, in requests forwarded to
	 * another VM.
	 */
	public static final AsciiString TRIED_TARGETS = AsciiString.cached("Vanillatrestle-Tried-Targets");

	/**
	 * The deadline in milliseconds that the caller requests.
	 */
	public static final AsciiString DEADLINE_MILLIS = AsciiString.cached("Vanillatrestle-Deadline-Millis");

	/**
	 * The request's priority, in requests to targets.
	 */
	public static final AsciiString PRIORITY = AsciiString.cached("Vanillatrestle-Priority");

	/**
	 * The number of stream events that the caller already has, in requests to targets and
	 * in requests forwarded to another VM.
	 */
	public static final AsciiString RESUME_OFFSET = AsciiString.cached("Vanillatrestle-Resume-Offset");

	/**
	 * The number of stream events that a resumed answer omits, in answers from targets.
	 */
	public static final AsciiString RESUMED = AsciiString.cached("Vanillatrestle-Resumed");

	/**
	 * The secret that targets send with their announcements.
	 */
	public static final AsciiString TARGET_SECRET = AsciiString.cached("Vanillatrestle-Target-Secret");

	/**
	 * The caller's idempotency key for a call that may run at most once.
	 */
	public static final AsciiString IDEMPOTENCY_KEY = AsciiString.cached("Idempotency-Key");

	/**
	 * Set to {@code true} on a stored answer of an earlier attempt.
	 */
	public static final AsciiString REPLAYED = AsciiString.cached("Vanillatrestle-Replayed");

	private HeaderNames() {
	}

}
