package org.vanillatrestle.daemon.internal.cli;

import java.util.Locale;

/**
 * The outcome of applying one contract.
 * <p>
 * Immutable and thread safe.
 *
 * @param kind the kind of outcome
 * @param detail an explanation, may be empty
 */
record ApplyResult(Kind kind, String detail) {

	@Override
	public String toString() {
		String text = this.kind.name().toLowerCase(Locale.ROOT).replace('_', ' ');
		return this.detail.isEmpty() ? text : text + ": " + this.detail;
	}

	/**
	 * The kinds of outcomes, ordered from the best to the worst.
	 */
	enum Kind {

		/**
		 * The contract was already in force.
		 */
		UNCHANGED(ExitCode.OK),

		/**
		 * The contract is now in force.
		 */
		ACCEPTED(ExitCode.OK),

		/**
		 * The contract was refused, for example because it is not the successor of the
		 * revision in force.
		 */
		REFUSED(ExitCode.REFUSED),

		/**
		 * The contract is invalid.
		 */
		INVALID(ExitCode.INVALID),

		/**
		 * No VM accepted the contract, or it was not sent because no VM could be reached
		 * for an earlier file.
		 */
		NOT_SENT(ExitCode.UNREACHABLE),

		/**
		 * It is not known whether the contract is in force.
		 */
		UNKNOWN(ExitCode.UNKNOWN);

		private final ExitCode exitCode;

		Kind(ExitCode exitCode) {
			this.exitCode = exitCode;
		}

		ExitCode exitCode() {
			return this.exitCode;
		}

	}

}
