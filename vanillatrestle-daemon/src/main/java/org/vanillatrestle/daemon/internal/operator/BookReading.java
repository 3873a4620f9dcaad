package org.vanillatrestle.daemon.internal.operator;

/**
 * What was read from a replica of the contract book, and how fresh it is.
 * <p>
 * Immutable and thread safe.
 *
 * @param <T> what was read
 * @param value what was read
 * @param latest whether it holds every change that was acknowledged before
 * @param appliedIndex the index of the last command applied
 * @param leaderlessMillis for how long the replica has had no leader, 0 if it has one
 */
public record BookReading<T>(T value, boolean latest, long appliedIndex, long leaderlessMillis) {

}
