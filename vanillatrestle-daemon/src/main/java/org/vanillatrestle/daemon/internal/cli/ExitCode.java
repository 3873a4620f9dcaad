package org.vanillatrestle.daemon.internal.cli;

/**
 * The exit codes of the command line.
 * <p>
 * Immutable and thread safe.
 */
public enum ExitCode {

	/**
	 * The command succeeded.
	 */
	OK(0),

	/**
	 * The deployment refused the request, for example because of a conflict.
	 */
	REFUSED(1),

	/**
	 * The command line, the settings or a document is invalid.
	 */
	INVALID(2),

	/**
	 * No VM could be reached.
	 */
	UNREACHABLE(3),

	/**
	 * It is not known whether the change is in force; query the state to find out.
	 */
	UNKNOWN(4);

	private final int value;

	ExitCode(int value) {
		this.value = value;
	}

	/**
	 * Returns the exit status of the process.
	 * @return the exit status
	 */
	public int value() {
		return this.value;
	}

}
