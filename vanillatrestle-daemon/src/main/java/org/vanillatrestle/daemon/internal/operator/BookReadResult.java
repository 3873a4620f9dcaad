package org.vanillatrestle.daemon.internal.operator;

/**
 * A value read from a replica of the contract book, with its freshness.
 * <p>
 * Immutable and thread safe.
 *
 * @param <T> the type of the value
 * @param value the value
 * @param latest whether the value reflects every change acknowledged before the read
 * @param appliedIndex the log index of the last command applied to the replica
 * @param leaderlessMillis how long the replica has been without a leader, in
 * milliseconds; 0 if it has one
 */
public record BookReadResult<T>(T value, boolean latest, long appliedIndex, long leaderlessMillis) {

}
