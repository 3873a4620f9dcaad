package org.vanillatrestle.daemon.internal.pipeline;

import java.util.List;

import org.vanillatrestle.RegionId;
import org.vanillatrestle.Verdict;

/**
 * Creates the error answers of the request pipeline, so that their messages are in one
 * place.
 * <p>
 * Stateless and thread safe.
 */
public final class Refusals {

	private static final long NO_RETRY_MILLIS = -1;

	private Refusals() {
	}

	public static Refusal badRequest(String code, String message) {
		return new Refusal(400, code, message, Verdict.NOT_RUN, NO_RETRY_MILLIS);
	}

	public static Refusal missingKey() {
		return new Refusal(401, "KEY_MISSING",
				"The request has no bearer key. Send the caller's key, for example 'Authorization: Bearer s3cret'.",
				Verdict.NOT_RUN, NO_RETRY_MILLIS);
	}

	public static Refusal unknownKey() {
		return new Refusal(401, "KEY_UNKNOWN",
				"No contract in force has a caller with this key. The key may be mistyped, or its contract may have changed;"
						+ " ask the operators which callers the contract lists.",
				Verdict.NOT_RUN, NO_RETRY_MILLIS);
	}

	public static Refusal contractsNotLoaded() {
		return new Refusal(503, "CONTRACTS_NOT_LOADED",
				"This VM has not received the contracts since it started. Use another entry VM or retry later.",
				Verdict.NOT_RUN, 1_000);
	}

	public static Refusal unknownService(String service) {
		return new Refusal(
				404, "SERVICE_UNKNOWN", "The contract has no service '" + service
						+ "'. A path must begin with the name of a service," + " for example /ledger/balances/17.",
				Verdict.NOT_RUN, NO_RETRY_MILLIS);
	}

	public static Refusal unknownModel(String model) {
		return new Refusal(404, "MODEL_UNKNOWN", "The contract has no service for the model '" + model + "'.",
				Verdict.NOT_RUN, NO_RETRY_MILLIS);
	}

	public static Refusal notFound(String path) {
		return new Refusal(404, "PATH_UNKNOWN", "No resource exists at '" + path + "'.", Verdict.NOT_RUN,
				NO_RETRY_MILLIS);
	}

	public static Refusal regionNotAllowed(RegionId region, List<String> entries) {
		return new Refusal(421, "REGION_NOT_ALLOWED",
				"The contract does not allow processing in region '" + region
						+ "'. Use one of the entry VMs listed under entries, or ask GET /v1/entry for an entry VM.",
				Verdict.NOT_RUN, Verdict.NOT_RUN, NO_RETRY_MILLIS, entries);
	}

	public static Refusal missingIdempotencyKey(String method, String path) {
		return new Refusal(400, "IDEMPOTENCY_KEY_MISSING",
				"The call " + method + " " + path + " may run at most once and requires the header Idempotency-Key,"
						+ " for example 'Idempotency-Key: payout-2026-11-kavre-17'.",
				Verdict.NOT_RUN, NO_RETRY_MILLIS);
	}

	public static Refusal bodyTooLarge(int maxBytes) {
		return new Refusal(413, "BODY_TOO_LARGE", "The request body is longer than " + maxBytes + " bytes.",
				Verdict.NOT_RUN, NO_RETRY_MILLIS);
	}

	public static Refusal headTooLarge(int maxBytes) {
		return new Refusal(431, "HEAD_TOO_LARGE", "The request head is longer than " + maxBytes + " bytes.",
				Verdict.NOT_RUN, NO_RETRY_MILLIS);
	}

	public static Refusal malformedHttp(String detail) {
		return badRequest("HTTP_MALFORMED", "The request is not valid HTTP/1.1: " + detail);
	}

	public static Refusal bodyTooSlow(long timeoutMillis) {
		return new Refusal(408, "BODY_TOO_SLOW", "The request was not fully received within " + timeoutMillis
				+ " ms. The network may be slow; send it again.", Verdict.NOT_RUN, NO_RETRY_MILLIS);
	}

	public static Refusal memoryFull() {
		return new Refusal(503, "MEMORY_FULL",
				"The memory that the settings of this VM allow for request bodies is full. Use another entry VM or retry later.",
				Verdict.NOT_RUN, 500);
	}

	public static Refusal limitReached(String limit, long retryAfterMillis) {
		return new Refusal(429, "LIMIT_REACHED",
				"The contract's limit " + limit + " is currently exhausted. Retry after the time in retryAfterMillis.",
				Verdict.NOT_RUN, retryAfterMillis);
	}

	public static Refusal overloaded(String reason, long retryAfterMillis) {
		return new Refusal(503, "OVERLOADED",
				"The request can't be answered in time (" + reason + "). Retry after the time in retryAfterMillis.",
				Verdict.NOT_RUN, retryAfterMillis);
	}

	public static Refusal noTarget(String service, long retryAfterMillis) {
		return new Refusal(503, "NO_CAPACITY",
				"No target that the contract allows can accept a request for '" + service + "' at the moment.",
				Verdict.NOT_RUN, retryAfterMillis);
	}

	public static Refusal shuttingDown() {
		return new Refusal(503, "SHUTTING_DOWN", "This VM is shutting down. Use another entry VM.", Verdict.NOT_RUN, 0);
	}

	public static Refusal stopped() {
		return new Refusal(502, "STOPPED", "This VM stopped before the target's answer was complete.",
				Verdict.MAY_HAVE_RUN, NO_RETRY_MILLIS);
	}

	public static Refusal deadlinePassed(long deadlineMillis, Verdict verdict) {
		return new Refusal(504, "DEADLINE_PASSED",
				"The request was not answered within its deadline of " + deadlineMillis + " ms.", verdict,
				NO_RETRY_MILLIS);
	}

	public static Refusal targetFailed(String detail, Verdict verdict) {
		return new Refusal(502, "TARGET_BROKE", "The target did not return a complete answer (" + detail + ").",
				verdict, NO_RETRY_MILLIS);
	}

	public static Refusal keyReused() {
		return new Refusal(409, "KEY_REUSED",
				"This Idempotency-Key was already used with a different request. Use a new key for a new call;"
						+ " a repeated request must have the same method, path and body.",
				Verdict.MAY_HAVE_RUN, Verdict.NOT_RUN, NO_RETRY_MILLIS, List.of());
	}

	public static Refusal outcomeUnknown(String detail) {
		return new Refusal(409, "OUTCOME_UNKNOWN",
				"An earlier attempt with this Idempotency-Key may have run, and its answer is not known (" + detail
						+ "). Check the outcome with the service before using a new key.",
				Verdict.MAY_HAVE_RUN, Verdict.NOT_RUN, NO_RETRY_MILLIS, List.of());
	}

	public static Refusal unknownOperator() {
		return new Refusal(401, "OPERATOR_UNKNOWN",
				"This request requires the bearer key of an operator whose key hash is in the settings of this VM.",
				Verdict.NOT_RUN, NO_RETRY_MILLIS);
	}

	public static Refusal notControl(List<String> controls) {
		return new Refusal(421, "NOT_CONTROL",
				"This VM has no replica of the contract book. Use one of the VMs listed under entries.",
				Verdict.NOT_RUN, Verdict.NOT_RUN, NO_RETRY_MILLIS, controls);
	}

	public static Refusal keyInProgress(long retryAfterMillis) {
		return new Refusal(409, "IN_PROGRESS",
				"An earlier attempt with this Idempotency-Key is still in progress."
						+ " Send the request again with the same key to get its answer.",
				Verdict.MAY_HAVE_RUN, Verdict.NOT_RUN, retryAfterMillis, List.of());
	}

	public static Refusal answerNotStored() {
		return new Refusal(409, "ANSWER_NOT_STORED",
				"The call with this Idempotency-Key ran, but its answer was too large to store."
						+ " Ask the service for the result.",
				Verdict.RAN, Verdict.NOT_RUN, NO_RETRY_MILLIS, List.of());
	}

	public static Refusal claimNotGranted(String reason, long retryAfterMillis) {
		return new Refusal(503, "CLAIM_NOT_GRANTED",
				"The once ledger did not grant the claim (" + reason
						+ "), so the call was not dispatched. Send it again with" + " the same key.",
				Verdict.MAY_HAVE_RUN, Verdict.NOT_RUN, retryAfterMillis, List.of());
	}

	public static Refusal ledgerUnreachable(RegionId home, long retryAfterMillis) {
		return new Refusal(503, "LEDGER_UNREACHABLE",
				"The once ledger of the caller's home region '" + home + "' is unreachable, so the call was not"
						+ " dispatched. Send it again with the same key, preferably to an entry VM of the home region.",
				Verdict.MAY_HAVE_RUN, Verdict.NOT_RUN, retryAfterMillis, List.of());
	}

	public static Refusal internalError() {
		return new Refusal(500, "INTERNAL", "An unexpected error occurred on the VM; its log contains the request ID.",
				Verdict.MAY_HAVE_RUN, NO_RETRY_MILLIS);
	}

}
