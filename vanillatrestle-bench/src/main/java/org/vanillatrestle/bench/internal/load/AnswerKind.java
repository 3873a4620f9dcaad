package org.vanillatrestle.bench.internal.load;

/**
 * How a request of the load generator ended.
 * <p>
 * Immutable and thread safe.
 */
public enum AnswerKind {

	/**
	 * The whole answer arrived.
	 */
	WHOLE,

	/**
	 * An error that says the request was not run.
	 */
	NOT_RUN,

	/**
	 * An error that says the request may have run.
	 */
	MAY_HAVE_RUN,

	/**
	 * An error without a verdict.
	 */
	ERROR,

	/**
	 * The connection ended before the answer, so that the caller knows it is not whole.
	 */
	BROKEN,

	/**
	 * The request was still waiting for its turn long after the end of the load.
	 */
	NOT_SENT,

	/**
	 * An answer that looked whole and was not: a broken promise.
	 */
	FALSE_WHOLE;

	/**
	 * Returns the kind of an error response.
	 * @param verdict the response's verdict, or {@code null}
	 * @return the kind
	 */
	static AnswerKind ofError(String verdict) {
		if ("NOT_RUN".equals(verdict)) {
			return NOT_RUN;
		}
		return "MAY_HAVE_RUN".equals(verdict) ? MAY_HAVE_RUN : ERROR;
	}

}
