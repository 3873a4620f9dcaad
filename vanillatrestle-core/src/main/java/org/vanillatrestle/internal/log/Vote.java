package org.vanillatrestle.internal.log;

import java.util.Optional;

/**
 * The term of a replica and whom it voted for in it. A vote must be on disk before anyone
 * hears of it.
 * <p>
 * Immutable and thread safe.
 *
 * @param term the term
 * @param votedFor the candidate that has this replica's vote in the term
 */
public record Vote(long term, Optional<ReplicaId> votedFor) {

	/**
	 * The vote of a new replica.
	 */
	public static final Vote INITIAL = new Vote(0, Optional.empty());

}
