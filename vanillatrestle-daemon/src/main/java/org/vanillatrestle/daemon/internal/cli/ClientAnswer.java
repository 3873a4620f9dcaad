package org.vanillatrestle.daemon.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A VM's answer to an operator's request.
 * <p>
 * Not to be changed.
 *
 * @param status the HTTP status
 * @param body the JSON body
 */
record ClientAnswer(int status, JsonNode body) {

	boolean isOk() {
		return this.status == 200;
	}

	String code() {
		return this.body.path("code").asText();
	}

	/**
	 * The exit code that fits the status.
	 * @return the code
	 */
	ExitCode exitCode() {
		return switch (this.status) {
			case 200 -> ExitCode.OK;
			case 400, 413 -> ExitCode.INVALID;
			case 503 -> ExitCode.UNREACHABLE;
			case 504 -> ExitCode.UNKNOWN;
			default -> ExitCode.REFUSED;
		};
	}

	CommandFault toFault() {
		return new CommandFault(exitCode(), this.body.path("message").asText("status " + this.status));
	}

}
