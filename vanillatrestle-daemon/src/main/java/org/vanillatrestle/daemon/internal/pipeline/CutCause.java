package org.vanillatrestle.daemon.internal.pipeline;

import java.util.Locale;

import org.vanillatrestle.internal.retry.RetryDenial;

/**
 * The reason why an answer that had begun was broken off.
 * <p>
 * Immutable and thread safe.
 */
public enum CutCause {

	/** The deadline passed while an attempt was in progress or awaited. */
	DEADLINE,
	/** The answer is not a stream that another attempt can continue. */
	NOT_RESUMABLE,
	/** The request may have run and must not run twice. */
	DENIED_NOT_REPEATABLE,
	/** The request has used all its attempts. */
	DENIED_ATTEMPTS,
	/** The deadline is too close for another attempt. */
	DENIED_TIME,
	/** The service's retry budget is used up. */
	DENIED_BUDGET,
	/** No target and no other data centre took the rest of the answer. */
	NOT_PLACED;

	private final String label = name().toLowerCase(Locale.ROOT).replace('_', '-');

	static CutCause of(RetryDenial denial) {
		return switch (denial) {
			case NOT_REPEATABLE -> DENIED_NOT_REPEATABLE;
			case ATTEMPTS -> DENIED_ATTEMPTS;
			case TIME -> DENIED_TIME;
			case BUDGET -> DENIED_BUDGET;
		};
	}

	/**
	 * Returns the name of this cause in log lines and metrics.
	 * @return the name, in lower case with hyphens
	 */
	public String label() {
		return this.label;
	}

}
