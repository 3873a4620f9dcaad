package org.vanillatrestle.internal.book;

import org.vanillatrestle.Caller;
import org.vanillatrestle.Contract;

/**
 * The caller to whom a bearer key belongs, and its contract.
 * <p>
 * Immutable and thread safe.
 *
 * @param contract the contract in force
 * @param caller the caller
 */
public record CallerMatch(Contract contract, Caller caller) {

}
