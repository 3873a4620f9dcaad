package org.vanillatrestle.daemon.internal.replica;

import java.util.Optional;

import org.vanillatrestle.VmId;

/**
 * The outcome of a proposed command.
 * <p>
 * Immutable and thread safe.
 */
public sealed interface ProposalOutcome {

	/**
	 * The command is committed and applied.
	 *
	 * @param index the index of the command in the log
	 * @param reply the state machine's reply
	 */
	record Committed(long index, byte[] reply) implements ProposalOutcome {
	}

	/**
	 * The command was rejected and will never be committed, because the replica is not
	 * the leader.
	 *
	 * @param leader the VM of the leader, if known
	 */
	record NotLeader(Optional<VmId> leader) implements ProposalOutcome {
	}

	/**
	 * The command was rejected and will never be committed, because a limit on pending
	 * inputs or bytes is reached.
	 */
	record Overloaded() implements ProposalOutcome {
	}

	/**
	 * It is unknown whether the command is or ever will be committed.
	 *
	 * @param reason the reason, for the log and the operator
	 */
	record Unknown(String reason) implements ProposalOutcome {
	}

}
