package org.vanillatrestle.wire;

/**
 * The sender's end of a forwarded request. Not thread safe: use it on the VM's event
 * loop. Calls after the end have no effect.
 */
public interface ForwardStream {

	/**
	 * Tells whether the next piece of the body would be sent without delay.
	 * @return {@code false} if the writer should wait for
	 * {@link ForwardListener#onBodyWritable}
	 */
	boolean isBodyWritable();

	/**
	 * Sends a piece of the body, or queues it. A request without a body ends it by an
	 * empty last piece.
	 * @param data the bytes, not to be changed afterwards
	 * @param last whether the body ends here
	 * @throws IllegalStateException if the writer ignored {@link #isBodyWritable} until
	 * the queue was full, or the body has ended
	 */
	void writeBody(byte[] data, boolean last);

	/**
	 * Tells the holder that pieces of the answer have been passed on.
	 * @param bytes the number of bytes
	 */
	void consumed(int bytes);

	/**
	 * Asks the holder to stop. The listener still gets the attempt's failure, at the
	 * latest after the cancel time-out.
	 * @param reason why, in a few words
	 */
	void cancel(String reason);

}
