package org.vanillatrestle.daemon.internal.cli;

import java.util.Locale;

/**
 * What became of a contract that was to be applied.
 * <p>
 * Immutable and thread safe.
 *
 * @param kind what became of it
 * @param detail more on it, may be empty
 */
record ApplyResult(Kind kind, String detail) {

	@Override
	public String toString() {
		String text = this.kind.name().toLowerCase(Locale.ROOT).replace('_', ' ');
		return this.detail.isEmpty() ? text : text + ": " + this.detail;
	}

	/**
	 * What became of it. Ordered so that the worst comes last.
	 */
	enum Kind {

		/**
		 * It was in force already.
		 */
		UNCHANGED(ExitCode.OK),

		/**
		 * It is in force now.
		 */
		ACCEPTED(ExitCode.OK),

		/**
		 * It does not follow what is in force.
		 */
		REFUSED(ExitCode.REFUSED),

		/**
		 * It breaks a rule.
		 */
		INVALID(ExitCode.INVALID),

		/**
		 * No VM took it, or an earlier file met none.
		 */
		NOT_SENT(ExitCode.UNREACHABLE),

		/**
		 * It may or may not be in force.
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
