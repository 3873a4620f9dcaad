package org.vanillatrestle.daemon.internal.cli;

/**
 * Thrown to end a command early with an error message and an exit code.
 * <p>
 * Immutable and thread safe.
 */
final class CommandException extends Exception {

	private static final long serialVersionUID = 1L;

	private final ExitCode exitCode;

	CommandException(ExitCode exitCode, String message) {
		super(message);
		this.exitCode = exitCode;
	}

	ExitCode exitCode() {
		return this.exitCode;
	}

}
