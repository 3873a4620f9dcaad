package org.vanillatrestle.daemon.internal.pipeline;

/**
 * Thrown when a request is refused; carries the refusal to send to the caller.
 * <p>
 * Immutable and thread safe.
 */
final class RefusedException extends Exception {

	private static final long serialVersionUID = 1L;

	private final transient Refusal refusal;

	RefusedException(Refusal refusal) {
		super(refusal.message(), null, false, false);
		this.refusal = refusal;
	}

	Refusal refusal() {
		return this.refusal;
	}

}
