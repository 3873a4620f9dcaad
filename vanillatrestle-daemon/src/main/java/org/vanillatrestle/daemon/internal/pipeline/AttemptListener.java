package org.vanillatrestle.daemon.internal.pipeline;

import io.netty.buffer.ByteBuf;
import org.vanillatrestle.Verdict;

/**
 * Receives the events of one attempt: {@link #onHead}, any number of {@link #onBody},
 * then {@link #onEnd}. Instead of any of these, {@link #onFailure} may be called.
 * <p>
 * Called on the VM's event loop. No method is called after {@link #onEnd},
 * {@link #onFailure} or {@link AttemptHandle#cancel()}.
 */
public interface AttemptListener {

	/**
	 * Called when the status and headers of the answer have arrived.
	 * @param head status and headers
	 */
	void onHead(AnswerHead head);

	/**
	 * Called for each part of the body, in order and without gaps.
	 * @param data the part; the listener releases it
	 */
	void onBody(ByteBuf data);

	/**
	 * Called when the answer has ended normally.
	 */
	void onEnd();

	/**
	 * Called when the attempt has failed.
	 * @param verdict whether the request may have run
	 * @param detail the cause, for logs and error messages
	 */
	void onFailure(Verdict verdict, String detail);

}
