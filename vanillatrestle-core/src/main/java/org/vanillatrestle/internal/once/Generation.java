package org.vanillatrestle.internal.once;

/**
 * A generation of issued keys that is not retired.
 * <p>
 * Immutable and thread safe.
 *
 * @param number the number in the keys' prefix
 * @param openedAtMillis when it was opened, in milliseconds of the ledger's own time
 */
public record Generation(long number, long openedAtMillis) {

}
