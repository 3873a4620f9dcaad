package org.vanillatrestle.internal.log;

/**
 * The end of a read round.
 * <p>
 * Immutable and thread safe.
 *
 * @param ticket as given by {@link ReplicatedLog#requestRead}
 * @param confirmed whether a quorum confirmed the leader after the request
 * @param index the state must have been applied up to here before it is read
 */
public record ReadResult(long ticket, boolean confirmed, long index) {
}
