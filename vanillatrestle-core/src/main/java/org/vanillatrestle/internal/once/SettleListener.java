package org.vanillatrestle.internal.once;

import org.vanillatrestle.OnceKey;

/**
 * Is told when a claim is no longer in progress.
 */
@FunctionalInterface
public interface SettleListener {

	/**
	 * A claim was answered, released or abandoned, or its generation was retired.
	 * @param key the key
	 */
	void settled(OnceKey key);

}
