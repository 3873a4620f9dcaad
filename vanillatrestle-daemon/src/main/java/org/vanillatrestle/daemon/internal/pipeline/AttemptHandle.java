package org.vanillatrestle.daemon.internal.pipeline;

import org.vanillatrestle.Verdict;

/**
 * One attempt in progress, at a target or by way of another VM.
 * <p>
 * Used on the VM's event loop.
 */
public interface AttemptHandle {

	/**
	 * Stops the attempt; the listener hears nothing more.
	 * @return {@link Verdict#NOT_RUN} if no byte was sent and none will be, else
	 * {@link Verdict#MAY_HAVE_RUN}
	 */
	Verdict cancel();

	/**
	 * Pauses or resumes the reading of the answer.
	 * @param reading whether to read
	 */
	void setReading(boolean reading);

}
