package org.vanillatrestle.internal.once;

import org.vanillatrestle.OnceKey;

/**
 * Listener that is notified when a claim is no longer in progress.
 */
@FunctionalInterface
public interface ClaimListener {

	/**
	 * Called when a claim has been answered, released or abandoned, when its generation
	 * has been retired, or when the ledger's state has been replaced by a snapshot.
	 * @param key the claim's key
	 */
	void claimSettled(OnceKey key);

}
