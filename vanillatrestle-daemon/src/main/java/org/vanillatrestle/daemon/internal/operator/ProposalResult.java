package org.vanillatrestle.daemon.internal.operator;

import java.util.Optional;

/**
 * The result of proposing a command to the contract book.
 * <p>
 * Immutable and thread safe.
 */
public sealed interface ProposalResult {

	/**
	 * The command has been committed and applied.
	 *
	 * @param reply the encoded outcome
	 */
	record Applied(byte[] reply) implements ProposalResult {
	}

	/**
	 * The command was not accepted and will never be applied.
	 *
	 * @param leader the leader's address for operators, if it is known
	 */
	record NotAccepted(Optional<String> leader) implements ProposalResult {
	}

	/**
	 * The command was not accepted, because the group has too few voters to keep it when
	 * as many disks are lost as a group of all its VMs tolerates.
	 *
	 * @param voters the number of voters that the VM knows of
	 * @param required the number of voters from which on changes are accepted
	 */
	record TooFewVoters(int voters, int required) implements ProposalResult {
	}

	/**
	 * It is unknown whether the command has been or will be committed.
	 *
	 * @param reason why the outcome is unknown
	 */
	record Unknown(String reason) implements ProposalResult {
	}

}
