package org.vanillatrestle.daemon.internal.cli;

import java.io.IOException;

/**
 * A request to a VM got no answer.
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
	 * Tells whether the request may have reached the VM.
	 * @return whether it may have taken effect
	 */
	boolean maybeSent() {
		return this.maybeSent;
	}

}
