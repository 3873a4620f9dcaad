package org.vanillatrestle.daemon.internal.cli;

/**
 * The exit codes of the command line.
 * <p>
 * Immutable and thread safe.
 */
public enum ExitCode {

	/**
	 * The command did what was asked.
	 */
	OK(0),

	/**
	 * The deployment refused, for example because of a conflict.
	 */
	REFUSED(1),

	/**
	 * The command line, the settings or a document has a fault.
	 */
	INVALID(2),

	/**
	 * No VM could be reached.
	 */
	UNREACHABLE(3),

	/**
	 * The change may or may not be in force; ask again.
	 */
	UNKNOWN(4);

	private final int value;

	ExitCode(int value) {
		this.value = value;
	}

	/**
	 * Returns the number handed to the operating system.
	 * @return the number
	 */
	public int value() {
		return this.value;
	}

}
