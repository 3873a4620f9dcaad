package org.vanillatrestle.daemon.internal.replica;

/**
 * Whether the state may be read as the latest.
 * <p>
 * Immutable and thread safe.
 *
 * @param latest whether the state holds every command acknowledged before the read was
 * asked for
 * @param appliedIndex the state's index
 */
public record ReadOutcome(boolean latest, long appliedIndex) {
}
