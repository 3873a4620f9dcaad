package org.vanillatrestle.internal.log;

import java.util.Optional;

/**
 * The immediate result of a proposal.
 * <p>
 * Immutable and thread safe.
 */
public sealed interface Proposal {

	/**
	 * The command was appended to the leader's log; it may or may not be committed later.
	 *
	 * @param index its position in the log
	 * @param term the leader's term
	 */
	record Appended(long index, long term) implements Proposal {
	}

	/**
	 * The command was not accepted and is not in the log.
	 *
	 * @param leader the leader to propose to instead, if another replica is known to lead
	 */
	record Refused(Optional<ReplicaId> leader) implements Proposal {
	}

}
