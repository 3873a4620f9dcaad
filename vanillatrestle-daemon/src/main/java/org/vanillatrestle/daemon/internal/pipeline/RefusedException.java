package org.vanillatrestle.daemon.internal.pipeline;

/**
 * A request is refused.
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
