package org.vanillatrestle.daemon.internal.pipeline;

import io.netty.buffer.ByteBuf;

/**
 * Relays the answer to one request to the caller.
 * <p>
 * Used on the VM's event loop. Output of different attempts is never mixed in one answer,
 * except that a stream continues at the event where the failed attempt stopped.
 */
interface AnswerRelay {

	/**
	 * Starts the answer of a new attempt.
	 * @param head status and headers
	 */
	void head(AnswerHead head);

	/**
	 * Relays or buffers a part of the answer's body.
	 * @param data the part; the relay releases it
	 */
	void body(ByteBuf data);

	/**
	 * Ends the answer if it is complete as far as the relay can tell.
	 * @return whether the answer is complete
	 */
	boolean end();

	/**
	 * Discards data that was not relayed yet, after the attempt has failed.
	 */
	void reset();

	/**
	 * Returns the position at which another attempt must continue the answer.
	 * @return the number of relayed stream events; 0 if nothing was relayed; -1 if the
	 * answer can't be continued
	 */
	int resumeOffset();

	/**
	 * Returns the number of relayed tokens, as far as known.
	 * @return the number of relayed stream events, or the token count that the answer
	 * reports
	 */
	int relayedTokens();

}
