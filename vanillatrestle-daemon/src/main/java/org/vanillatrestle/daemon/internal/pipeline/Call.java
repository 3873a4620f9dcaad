package org.vanillatrestle.daemon.internal.pipeline;

import java.util.Optional;

import org.vanillatrestle.ContractService;
import org.vanillatrestle.ModelName;
import org.vanillatrestle.Repeat;

/**
 * What a request asks for, by its contract.
 * <p>
 * Immutable and thread safe.
 *
 * @param service the contract's service
 * @param model the model, empty for a plain service
 * @param targetPath path and query as sent to the target
 * @param repeat whether the call may run more than once
 * @param keyRequired whether an at-most-once call needs a key
 * @param stream whether the answer is a stream of events
 * @param promptTokens an estimate of the prompt's length in tokens
 * @param maxTokens the most tokens of the answer
 * @param prefixHash a hash of the prompt's beginning, for affinity
 * @param deadlineMillis the longest time from arrival to the last byte
 */
public record Call(ContractService service, Optional<ModelName> model, String targetPath, Repeat repeat,
		boolean keyRequired, boolean stream, int promptTokens, int maxTokens, long prefixHash, long deadlineMillis) {

}
