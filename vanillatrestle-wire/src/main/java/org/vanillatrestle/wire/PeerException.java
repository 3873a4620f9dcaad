package org.vanillatrestle.wire;

/**
 * Says why a call to a peer has no answer, or why a link was closed.
 */
public class PeerException extends Exception {

	private static final long serialVersionUID = 1L;

	private final Reason reason;

	/**
	 * Creates an exception.
	 * @param reason the kind of failure
	 * @param message what happened, in one sentence
	 */
	public PeerException(Reason reason, String message) {
		super(message, null, false, false);
		this.reason = reason;
	}

	/**
	 * Returns the kind of failure.
	 * @return the reason
	 */
	public Reason reason() {
		return this.reason;
	}

	/**
	 * The kinds of failure.
	 */
	public enum Reason {

		/**
		 * There is no link to the peer; nothing was sent.
		 */
		NOT_CONNECTED,

		/**
		 * The link takes no more now; nothing was sent.
		 */
		BACKLOGGED,

		/**
		 * The link was lost before the answer came.
		 */
		LINK_LOST,

		/**
		 * No answer came in time.
		 */
		TIMED_OUT,

		/**
		 * The peer answered with an error.
		 */
		REFUSED,

		/**
		 * The peer broke the rules of the link.
		 */
		PROTOCOL

	}

}
