package org.vanillatrestle.internal.log;

import java.util.Optional;

/**
 * The current term of a replica and the candidate it voted for in that term. A vote must
 * be on disk before it is sent or counted.
 * <p>
 * Immutable and thread safe.
 *
 * @param term the current term
 * @param votedFor the candidate that received this replica's vote in the term, empty if
 * none did
 */
public record Vote(long term, Optional<ReplicaId> votedFor) {

	/**
	 * The vote of a new replica.
	 */
	public static final Vote INITIAL = new Vote(0, Optional.empty());

}
