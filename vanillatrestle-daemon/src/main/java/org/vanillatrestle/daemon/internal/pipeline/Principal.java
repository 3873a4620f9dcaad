package org.vanillatrestle.daemon.internal.pipeline;

import org.vanillatrestle.Caller;
import org.vanillatrestle.Contract;

/**
 * Who calls, under which contract.
 * <p>
 * Immutable and thread safe.
 *
 * @param contract the contract in force
 * @param caller one of its callers
 */
public record Principal(Contract contract, Caller caller) {

}
