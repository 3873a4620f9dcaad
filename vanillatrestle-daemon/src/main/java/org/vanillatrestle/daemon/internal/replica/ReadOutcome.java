package org.vanillatrestle.daemon.internal.replica;

/**
 * Tells whether the state of the replica is confirmed to be the latest.
 * <p>
 * Immutable and thread safe.
 *
 * @param latest whether the state contains every command acknowledged before the read was
 * requested
 * @param appliedIndex the log index of the last entry applied to the state
 */
public record ReadOutcome(boolean latest, long appliedIndex) {
}
