package org.vanillatrestle.internal.log;

import java.util.Optional;

/**
 * What became of a proposal at once.
 * <p>
 * Immutable and thread safe.
 */
public sealed interface Proposal {

	/**
	 * The command is in the leader's log; whether it commits is not known yet.
	 *
	 * @param index the place in the log
	 * @param term the leader's term
	 */
	record Appended(long index, long term) implements Proposal {
	}

	/**
	 * The command went nowhere.
	 *
	 * @param leader the leader, where known
	 */
	record Refused(Optional<ReplicaId> leader) implements Proposal {
	}

}
