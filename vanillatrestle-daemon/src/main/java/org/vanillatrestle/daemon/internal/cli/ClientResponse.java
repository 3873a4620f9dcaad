package org.vanillatrestle.daemon.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A VM's response to an operator's request.
 * <p>
 * The JSON body must not be modified.
 *
 * @param status the HTTP status
 * @param body the JSON body
 */
record ClientResponse(int status, JsonNode body) {

	boolean isOk() {
		return this.status == 200;
	}

	String code() {
		return this.body.path("code").asText();
	}

	/**
	 * Returns the exit code that corresponds to the HTTP status.
	 * @return the exit code
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

	CommandException toException() {
		return new CommandException(exitCode(), this.body.path("message").asText("status " + this.status));
	}

}
