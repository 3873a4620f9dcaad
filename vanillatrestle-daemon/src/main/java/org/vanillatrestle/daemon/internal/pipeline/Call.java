package org.vanillatrestle.daemon.internal.pipeline;

import java.util.Optional;

import org.vanillatrestle.ContractService;
import org.vanillatrestle.ModelName;
import org.vanillatrestle.Repeat;

/**
 * The service call to which a request maps under its contract.
 * <p>
 * Immutable and thread safe.
 *
 * @param service the contract's service
 * @param model the model; empty for a plain service
 * @param targetPath the path and query to send to the target
 * @param repeat whether the call may run more than once
 * @param keyRequired whether an at-most-once call must have an idempotency key
 * @param stream whether the caller asked for a stream of server-sent events
 * @param promptTokens the estimated prompt length in tokens
 * @param maxTokens the maximum answer length in tokens
 * @param prefixHash a hash of the start of the prompt, for prefix cache affinity
 * @param deadlineMillis the maximum time from arrival to the last byte of the answer, in
 * milliseconds
 */
public record Call(ContractService service, Optional<ModelName> model, String targetPath, Repeat repeat,
		boolean keyRequired, boolean stream, int promptTokens, int maxTokens, long prefixHash, long deadlineMillis) {

}
