package org.vanillatrestle.internal.book;

import org.vanillatrestle.Caller;
import org.vanillatrestle.Contract;

/**
 * The caller that a bearer key belongs to, with its contract.
 * <p>
 * Immutable and thread safe.
 *
 * @param contract the contract in force
 * @param caller the caller
 */
public record CallerMatch(Contract contract, Caller caller) {

}
