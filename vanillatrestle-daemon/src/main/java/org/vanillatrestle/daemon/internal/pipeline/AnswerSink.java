package org.vanillatrestle.daemon.internal.pipeline;

import io.netty.buffer.ByteBuf;

/**
 * Where the answer to a request goes: a caller's connection, or a peer that forwarded the
 * request.
 * <p>
 * Called on the VM's event loop only: {@link #head} once, then any number of
 * {@link #body}, then {@link #end} or {@link #abort}.
 */
public interface AnswerSink {

	/**
	 * Sends an answer whose whole body is known.
	 * @param head status and headers
	 * @param body the whole body
	 */
	void whole(AnswerHead head, byte[] body);

	/**
	 * Starts an answer whose length is not known yet.
	 * @param head status and headers
	 */
	void head(AnswerHead head);

	/**
	 * Sends a part of the body.
	 * @param data the part; the sink releases it
	 */
	void body(ByteBuf data);

	/**
	 * Ends a whole answer.
	 */
	void end();

	/**
	 * Breaks the answer off so that it can't be taken for whole.
	 */
	void abort();

	/**
	 * Answers with an error.
	 * @param refusal what went wrong
	 * @param head status and headers of the error
	 */
	void refuse(Refusal refusal, AnswerHead head);

	/**
	 * Answers with an error and its usual headers.
	 * @param refusal what went wrong
	 */
	default void refuse(Refusal refusal) {
		refuse(refusal, new AnswerHead(refusal.status(), RefusalWriter.headers(refusal)));
	}

	/**
	 * Tells whether more parts can be taken without using more memory than the bound.
	 * @return whether to go on reading from the target
	 */
	boolean isWritable();

}
