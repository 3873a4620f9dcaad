package org.vanillatrestle.internal.book;

/**
 * An accepted revision in a customer's history.
 * <p>
 * Immutable and thread safe.
 *
 * @param revision the revision
 * @param index the index of the change in the replicated log
 * @param operator the operator's name
 * @param atMillis the time of the proposal, in milliseconds since 1970
 * @param removal whether the revision removed the contract
 * @param sha256 the SHA-256 of the canonical document in hexadecimal, empty for a removal
 */
public record RevisionRecord(long revision, long index, String operator, long atMillis, boolean removal,
		String sha256) {

}
