package org.vanillatrestle.daemon.internal.pipeline;

import java.util.List;

import org.vanillatrestle.Verdict;

/**
 * The error answer to a request.
 * <p>
 * Immutable and thread safe.
 *
 * @param status the HTTP status
 * @param code a short code for programs
 * @param message what happened, the likely cause and how to mend it
 * @param verdict whether the request, or the call its key stands for, may have run
 * @param attemptVerdict whether this very attempt may have run
 * @param retryAfterMillis when to come back, or -1 if coming back makes no difference
 * @param entries the entry VMs to use instead, empty if there is nothing to say
 */
public record Refusal(int status, String code, String message, Verdict verdict, Verdict attemptVerdict,
		long retryAfterMillis, List<String> entries) {

	public Refusal {
		entries = List.copyOf(entries);
	}

	Refusal(int status, String code, String message, Verdict verdict, long retryAfterMillis) {
		this(status, code, message, verdict, verdict, retryAfterMillis, List.of());
	}

	/**
	 * Returns the same refusal after earlier attempts.
	 * @param earlier the verdict of the earlier attempts together
	 * @return a refusal whose verdict holds for all attempts
	 */
	public Refusal after(Verdict earlier) {
		return new Refusal(this.status, this.code, this.message, this.verdict.and(earlier),
				this.attemptVerdict.and(earlier), this.retryAfterMillis, this.entries);
	}

}
