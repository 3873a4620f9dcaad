package org.vanillatrestle.wire;

/**
 * Bytes that are not what their reader expects.
 */
public class MalformedMessageException extends Exception {

	private static final long serialVersionUID = 1L;

	public MalformedMessageException(String message, Throwable cause) {
		super(message, cause);
	}

}
