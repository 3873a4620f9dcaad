package org.vanillatrestle.daemon.internal.replica;

import java.util.Optional;

import org.vanillatrestle.VmId;

/**
 * What became of a proposed command.
 * <p>
 * Immutable and thread safe.
 */
public sealed interface ProposalOutcome {

	/**
	 * The command is committed and applied.
	 *
	 * @param index the place in the log
	 * @param reply the state machine's reply
	 */
	record Committed(long index, byte[] reply) implements ProposalOutcome {
	}

	/**
	 * The command went nowhere and never will: the replica does not lead.
	 *
	 * @param leader the VM that leads, where known
	 */
	record NotLeader(Optional<VmId> leader) implements ProposalOutcome {
	}

	/**
	 * The command went nowhere and never will: too many wait.
	 */
	record Overloaded() implements ProposalOutcome {
	}

	/**
	 * The command may be committed, now or later, or never.
	 *
	 * @param reason for the log and the operator
	 */
	record Unknown(String reason) implements ProposalOutcome {
	}

}
