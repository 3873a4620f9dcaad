package org.vanillatrestle.daemon.internal.operator;

import java.util.Optional;

/**
 * What became of a command that was proposed to the contract book.
 * <p>
 * Immutable and thread safe.
 */
public sealed interface BookProposal {

	/**
	 * The command is committed and applied.
	 *
	 * @param reply the encoded outcome
	 */
	record Applied(byte[] reply) implements BookProposal {
	}

	/**
	 * The command went nowhere and never will.
	 *
	 * @param leader the leader's address for operators, if it is known
	 */
	record NotTaken(Optional<String> leader) implements BookProposal {
	}

	/**
	 * The command may be committed, now or later, or never.
	 *
	 * @param reason why it is not known
	 */
	record Unknown(String reason) implements BookProposal {
	}

}
