package org.vanillatrestle.daemon.internal.pipeline;

import java.util.List;

import org.vanillatrestle.Verdict;

/**
 * An error answer to a request.
 * <p>
 * Immutable and thread safe.
 *
 * @param status the HTTP status
 * @param code a short machine-readable code
 * @param message what happened, the likely cause and how to fix it
 * @param verdict whether the request may have run, including earlier requests with the
 * same idempotency key
 * @param attemptVerdict whether this request itself may have run
 * @param retryAfterMillis how long to wait before a retry, in milliseconds; -1 if a retry
 * is not useful
 * @param entries the addresses of VMs to use instead; empty if there are none to suggest
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
	 * Combines the verdicts of this refusal with the verdict of earlier attempts.
	 * @param earlier the combined verdict of the earlier attempts
	 * @return a copy of this refusal with verdicts that hold for all attempts
	 */
	public Refusal after(Verdict earlier) {
		return new Refusal(this.status, this.code, this.message, this.verdict.and(earlier),
				this.attemptVerdict.and(earlier), this.retryAfterMillis, this.entries);
	}

}
