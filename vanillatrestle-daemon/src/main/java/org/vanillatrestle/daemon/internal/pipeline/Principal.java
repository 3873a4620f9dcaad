package org.vanillatrestle.daemon.internal.pipeline;

import org.vanillatrestle.Caller;
import org.vanillatrestle.Contract;

/**
 * An authenticated caller and its contract.
 * <p>
 * Immutable and thread safe.
 *
 * @param contract the contract in force
 * @param caller a caller that the contract lists
 */
public record Principal(Contract contract, Caller caller) {

}
