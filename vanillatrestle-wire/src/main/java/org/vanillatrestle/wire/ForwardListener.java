package org.vanillatrestle.wire;

import java.util.List;

/**
 * What the sender of a forwarded request learns. All methods run on the VM's event loop,
 * never inside {@link PeerNode#open}. Exactly one of {@link #onEnd} and {@link #onFailed}
 * is called, once, and nothing after it.
 */
public interface ForwardListener {

	/**
	 * Called when more of the body may be written.
	 */
	default void onBodyWritable() {
	}

	/**
	 * Called once with the head of the answer.
	 * @param status the HTTP status
	 * @param headers the headers
	 * @param target the name of the target that answers
	 */
	void onHead(int status, List<Header> headers, String target);

	/**
	 * Called for each piece of the answer, in order and without gaps. The receiver calls
	 * {@link ForwardStream#consumed} once it has passed the piece on.
	 * @param data the bytes
	 */
	void onFrame(byte[] data);

	/**
	 * Called after the last piece of a whole answer.
	 * @param usage what the answer used up
	 */
	void onEnd(Usage usage);

	/**
	 * Called when the attempt failed; pieces already received are not a whole answer.
	 * @param failure the verdict and the cause
	 */
	void onFailed(ForwardFailure failure);

}
