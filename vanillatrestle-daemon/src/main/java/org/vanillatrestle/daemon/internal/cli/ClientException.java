package org.vanillatrestle.daemon.internal.cli;

import java.io.IOException;

/**
 * Thrown when a request to a VM received no complete response.
 * <p>
 * Immutable and thread safe.
 */
final class ClientException extends IOException {

	private static final long serialVersionUID = 1L;

	private final boolean maybeSent;

	ClientException(String message, boolean maybeSent) {
		super(message);
		this.maybeSent = maybeSent;
	}

	/**
	 * Returns whether the request may have reached the VM.
	 * @return {@code true} if the request may have taken effect
	 */
	boolean maybeSent() {
		return this.maybeSent;
	}

}
