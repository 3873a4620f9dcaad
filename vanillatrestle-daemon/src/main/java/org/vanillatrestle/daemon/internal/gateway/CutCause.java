package org.vanillatrestle.daemon.internal.gateway;

import java.util.Locale;

/**
 * Why an answer that has begun is not continued.
 */
enum CutCause {

	/** Another attempt is not permitted: see the decision about the retry. */
	RETRY_DENIED,

	/** Another attempt is permitted, but no target is expected to answer in time. */
	NOT_PLACED,

	/** The request's deadline has passed. */
	DEADLINE;

	private final String label = name().toLowerCase(Locale.ROOT).replace('_', '-');

	String label() {
		return this.label;
	}

}
