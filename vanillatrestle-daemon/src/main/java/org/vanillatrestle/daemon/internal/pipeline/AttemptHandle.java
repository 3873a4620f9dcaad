package org.vanillatrestle.daemon.internal.pipeline;

import org.vanillatrestle.Verdict;

/**
 * Controls one attempt in progress, either at a target or through another VM.
 * <p>
 * Used on the VM's event loop.
 */
public interface AttemptHandle {

	/**
	 * Cancels the attempt. Its listener is not called again.
	 * @return {@link Verdict#NOT_RUN} if no byte was sent and none will be sent,
	 * otherwise {@link Verdict#MAY_HAVE_RUN}
	 */
	Verdict cancel();

	/**
	 * Pauses or resumes reading the answer.
	 * @param reading {@code true} to read, {@code false} to pause
	 */
	void setReading(boolean reading);

}
