package org.vanillatrestle.internal.log;

/**
 * The result of a read request.
 * <p>
 * Immutable and thread safe.
 *
 * @param ticket the ticket returned by {@link ReplicatedLog#requestRead}
 * @param confirmed whether a quorum confirmed the leader after the request
 * @param index the index up to which entries must be applied to the state machine before
 * the state is read
 */
public record ReadResult(long ticket, boolean confirmed, long index) {
}
