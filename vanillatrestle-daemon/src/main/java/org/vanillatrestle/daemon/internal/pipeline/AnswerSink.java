package org.vanillatrestle.daemon.internal.pipeline;

import io.netty.buffer.ByteBuf;

/**
 * Receives the answer to a request and sends it to the caller, or to the peer that
 * forwarded the request.
 * <p>
 * Called on the VM's event loop only. An answer that is sent in parts consists of one
 * call of {@link #head}, any number of calls of {@link #body}, and one call of
 * {@link #end} or {@link #abort}.
 */
public interface AnswerSink {

	/**
	 * Sends a complete answer.
	 * @param head status and headers
	 * @param body the complete body
	 */
	void answer(AnswerHead head, byte[] body);

	/**
	 * Starts an answer whose body length is not known yet.
	 * @param head status and headers
	 */
	void head(AnswerHead head);

	/**
	 * Sends a part of the body.
	 * @param data the part; the sink releases it
	 */
	void body(ByteBuf data);

	/**
	 * Ends an answer that is complete.
	 */
	void end();

	/**
	 * Aborts the answer so that the receiver can't mistake it for a complete one.
	 */
	void abort();

	/**
	 * Sends an error answer.
	 * @param refusal the error
	 * @param head status and headers of the error answer
	 */
	void refuse(Refusal refusal, AnswerHead head);

	/**
	 * Sends an error answer with its default headers.
	 * @param refusal the error
	 */
	default void refuse(Refusal refusal) {
		refuse(refusal, new AnswerHead(refusal.status(), RefusalWriter.headers(refusal)));
	}

	/**
	 * Returns the longest time for which the request can have been on its way, unless
	 * this VM was frozen: it was sent after its connection had been opened, and after the
	 * previous answer on it.
	 * @return the time in milliseconds, {@link Long#MAX_VALUE} if it is not known
	 */
	default long maxRequestAgeMillis() {
		return Long.MAX_VALUE;
	}

	/**
	 * Returns whether the sink can accept more parts without exceeding its memory limit.
	 * @return whether to continue reading from the target
	 */
	boolean isWritable();

}
