package org.vanillatrestle.wire;

/**
 * Bytes are not a command, reply, page or snapshot of the kind that was expected.
 * <p>
 * Immutable and thread safe.
 */
public class MalformedStateException extends Exception {

	private static final long serialVersionUID = 1L;

	MalformedStateException(String message, Throwable cause) {
		super(message, cause);
	}

}
