package org.vanillatrestle.daemon.internal.gateway;

import java.util.Locale;

import org.vanillatrestle.Verdict;

/**
 * Why an attempt ended without a response to deliver.
 * <p>
 * Immutable and thread safe.
 *
 * @param cause the kind of failure
 * @param verdict whether the request may have run in the attempt
 * @param reachedTarget whether the request may have arrived at a target
 * @param endedBy who ended the attempt first
 * @param detail the failure in words, for the log
 */
record AttemptFailure(Cause cause, Verdict verdict, boolean reachedTarget, EndedBy endedBy, String detail) {

	static AttemptFailure unreachable(String detail) {
		return new AttemptFailure(Cause.UNREACHABLE, Verdict.NOT_RUN, false, EndedBy.PEER, detail);
	}

	static AttemptFailure rejected(String detail) {
		return new AttemptFailure(Cause.REJECTED, Verdict.NOT_RUN, true, EndedBy.PEER, detail);
	}

	static AttemptFailure failed(String detail) {
		return new AttemptFailure(Cause.FAILED, Verdict.MAY_HAVE_RUN, true, EndedBy.PEER, detail);
	}

	static AttemptFailure abandoned(String detail) {
		return new AttemptFailure(Cause.FAILED, Verdict.MAY_HAVE_RUN, true, EndedBy.GATEWAY, detail);
	}

	static AttemptFailure stalled(Verdict verdict, String detail) {
		return new AttemptFailure(Cause.STALLED, verdict, verdict != Verdict.NOT_RUN, EndedBy.GATEWAY, detail);
	}

	// a request that has not run may still have arrived at a target there, which rejected
	// it
	static AttemptFailure remote(RemoteError error, int status) {
		return new AttemptFailure(Cause.REMOTE_ERROR, error.verdict(), error.mayHaveReachedTarget(), EndedBy.PEER,
				"the remote VM returned an error, status " + status + ", " + error);
	}

	/**
	 * Who ended an attempt first.
	 */
	enum EndedBy {

		/** The target or the other VM, by its answer or by the end of the connection. */
		PEER,

		/** This VM, while the connection was open. */
		GATEWAY;

		private final String label = name().toLowerCase(Locale.ROOT);

		String label() {
			return this.label;
		}

	}

	/**
	 * The kinds of failure.
	 */
	enum Cause {

		/** No connection could be made. */
		UNREACHABLE,

		/** The target did not run the request. */
		REJECTED,

		/** The target failed, or the connection to it or to another VM broke off. */
		FAILED,

		/** The attempt made no progress, and another one has begun to answer. */
		STALLED,

		/** The other VM returned an error of its own. */
		REMOTE_ERROR;

		private final String label = name().toLowerCase(Locale.ROOT).replace('_', '-');

		String label() {
			return this.label;
		}

	}

}
