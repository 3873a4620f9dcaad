package org.vanillatrestle.daemon.internal.pipeline;

/**
 * A claim that the once ledger has granted to one request.
 * <p>
 * Used on the VM's event loop. Exactly one of the methods that report an outcome is
 * called, and only once. It keeps sending the outcome to the ledger in the background
 * until the ledger has replied or the VM stops.
 */
public interface OnceClaim {

	/**
	 * Records the complete answer.
	 * @param head status and headers
	 * @param body the complete body
	 * @param recorded called when the ledger has stored the answer or has been
	 * unreachable for so long that the caller should no longer wait
	 */
	void recordAnswer(AnswerHead head, byte[] body, Runnable recorded);

	/**
	 * Records that the call ran but its answer was too large to store.
	 */
	void recordOversizedAnswer();

	/**
	 * Records that the call may have run but its answer is not known.
	 */
	void abandon();

	/**
	 * Releases the claim because no byte of the call was sent to a target.
	 */
	void release();

	/**
	 * Returns the maximum size of an answer that the ledger stores.
	 * @return the size in bytes
	 */
	int maxStoredBytes();

}
