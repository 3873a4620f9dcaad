package org.vanillatrestle.daemon.internal.pipeline;

import io.netty.buffer.ByteBuf;
import org.vanillatrestle.Verdict;

/**
 * Hears what comes of one attempt: {@link #onHead}, any number of {@link #onBody}, then
 * {@link #onEnd}; or {@link #onFailure} at any time.
 * <p>
 * Called on the VM's event loop. Nothing is called after {@link #onEnd},
 * {@link #onFailure} or {@link AttemptHandle#cancel()}.
 */
public interface AttemptListener {

	/**
	 * The answer has begun.
	 * @param head status and headers
	 */
	void onHead(AnswerHead head);

	/**
	 * A part of the body has come, in order and without gaps.
	 * @param data the part; the listener releases it
	 */
	void onBody(ByteBuf data);

	/**
	 * The answer is whole.
	 */
	void onEnd();

	/**
	 * The attempt failed.
	 * @param verdict whether the request may have run
	 * @param detail what happened, for logs and error messages
	 */
	void onFailure(Verdict verdict, String detail);

}
