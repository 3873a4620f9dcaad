package org.vanillatrestle.daemon.internal.pipeline;

/**
 * A claim that the once ledger has granted for one attempt.
 * <p>
 * Used on the VM's event loop. Exactly one of the methods is called, once. Each goes on
 * asking the ledger in the background until it has an outcome or the VM stops.
 */
public interface OnceClaim {

	/**
	 * Records the whole answer.
	 * @param head status and headers
	 * @param body the whole body
	 * @param recorded run once the ledger has stored the answer, or has been out of reach
	 * for so long that the caller should no longer wait
	 */
	void answered(AnswerHead head, byte[] body, Runnable recorded);

	/**
	 * Records that the call ran and its answer was too large to store.
	 */
	void answeredTooLarge();

	/**
	 * Records that the call may have run and its answer is not known.
	 */
	void abandoned();

	/**
	 * Gives the claim back: no byte of the call was sent to a target.
	 */
	void released();

	/**
	 * Returns the longest answer that is stored.
	 * @return bytes
	 */
	int maxStoredBytes();

}
