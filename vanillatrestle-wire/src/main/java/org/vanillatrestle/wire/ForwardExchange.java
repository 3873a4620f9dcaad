package org.vanillatrestle.wire;

import java.util.List;

import org.vanillatrestle.Verdict;

/**
 * The holder's end of a forwarded request. Not thread safe: use it on the VM's event
 * loop. Calls after the end have no effect.
 * <p>
 * The holder calls {@link #start} before the first byte goes to a target. Until then a
 * cancellation is confirmed to the sender as "never will start", and {@link #start}
 * returns {@code false} ever after: so this confirmation is true.
 */
public interface ForwardExchange {

	/**
	 * Returns the VM that sent the request.
	 * @return the sender
	 */
	PeerIdentity sender();

	/**
	 * Returns the request.
	 * @return the request
	 */
	ReceivedRequest request();

	/**
	 * Asks for leave to send the request to a target.
	 * @return {@code false} if the exchange has ended: the request must not run
	 */
	boolean start();

	/**
	 * Confirms that no byte reached a target and the request never will start.
	 * @param code a short fixed name of the cause
	 * @param message the cause, in one sentence
	 * @param retryAfterMillis when to ask again, 0 if unknown
	 * @throws IllegalStateException if the head has been sent
	 */
	void refuse(String code, String message, int retryAfterMillis);

	/**
	 * Sends the head of the answer.
	 * @param status the HTTP status
	 * @param headers the headers
	 * @param target the name of the target that answers
	 * @throws IllegalStateException if the exchange was not started or has its head
	 */
	void head(int status, List<Header> headers, String target);

	/**
	 * Tells whether the next piece of the answer would be sent without delay.
	 * @return {@code false} if the holder should wait for
	 * {@link ExchangeListener#onWritable}
	 */
	boolean isWritable();

	/**
	 * Sends a piece of the answer, or queues it.
	 * @param data the bytes, not to be changed afterwards
	 * @throws IllegalStateException if there is no head yet, or the holder ignored
	 * {@link #isWritable} until the queue was full
	 */
	void frame(byte[] data);

	/**
	 * Ends a whole answer.
	 * @param usage what the answer used up
	 * @throws IllegalStateException if there is no head yet
	 */
	void end(Usage usage);

	/**
	 * Ends an answer that is not whole; pieces not yet sent are dropped.
	 * @param verdict whether the request may have run; not {@link Verdict#NOT_RUN}
	 * @param code a short fixed name of the cause
	 * @param message the cause, in one sentence
	 */
	void fail(Verdict verdict, String code, String message);

	/**
	 * Tells the sender that pieces of the body have been passed on.
	 * @param bytes the number of bytes
	 */
	void bodyConsumed(int bytes);

}
