package org.vanillatrestle.daemon.internal.pipeline;

import io.netty.buffer.ByteBuf;

/**
 * Hands one request's answer on to the caller.
 * <p>
 * Used on the VM's event loop. Never mixes two attempts into one answer.
 */
interface AnswerRelay {

	/**
	 * The answer of a new attempt has begun.
	 * @param head status and headers
	 */
	void head(AnswerHead head);

	/**
	 * Takes a part of the answer.
	 * @param data the part, released by the relay
	 */
	void body(ByteBuf data);

	/**
	 * Ends the answer.
	 * @return whether the answer was whole by the relay's own knowledge
	 */
	boolean end();

	/**
	 * The attempt has failed: drops what was not handed on yet.
	 */
	void reset();

	/**
	 * Returns from where another attempt must go on.
	 * @return the number of stream events handed on; 0 if nothing was handed on; -1 if
	 * the answer can't be gone on with
	 */
	int resumeOffset();

	/**
	 * Returns the number of tokens handed on, as far as known.
	 * @return the number of stream events, or what the answer itself says
	 */
	int tokens();

}
