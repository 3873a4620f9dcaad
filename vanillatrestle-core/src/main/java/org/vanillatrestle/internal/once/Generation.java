package org.vanillatrestle.internal.once;

/**
 * A generation of issued keys that has not been retired.
 * <p>
 * Immutable and thread safe.
 *
 * @param number the generation number in the keys' prefix
 * @param openedAtMillis the ledger time at which the generation was opened, in
 * milliseconds
 */
public record Generation(long number, long openedAtMillis) {

}
