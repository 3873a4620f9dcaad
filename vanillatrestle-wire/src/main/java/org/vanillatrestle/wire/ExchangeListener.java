package org.vanillatrestle.wire;

/**
 * What the holder of a forwarded request learns. All methods run on the VM's event loop,
 * none before {@link ForwardHandler#onRequest} returned, none after {@link #onCancelled}
 * or the exchange's end.
 */
public interface ExchangeListener {

	/**
	 * Called for each piece of the body, in order and without gaps. The holder calls
	 * {@link ForwardExchange#bodyConsumed} once it has passed the piece on.
	 * @param data the bytes, may be empty for the last piece
	 * @param last whether the body ends here
	 */
	void onBody(byte[] data, boolean last);

	/**
	 * Called when more of the answer may be written.
	 */
	default void onWritable() {
	}

	/**
	 * Called when the sender gave up or the link was lost. An exchange that was not
	 * started is ended and never will start. One that was started ends by
	 * {@link ForwardExchange#refuse} if no byte reached a target, else by
	 * {@link ForwardExchange#fail}.
	 * @param reason why
	 */
	void onCancelled(String reason);

}
