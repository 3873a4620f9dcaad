package org.vanillatrestle.daemon.internal.http;

/**
 * Is told of the connection while a request is in progress.
 * <p>
 * Called on the VM's event loop.
 */
public interface ConnectionListener {

	/**
	 * The caller has gone.
	 */
	void gone();

	/**
	 * The connection takes more parts, or no more for now.
	 */
	void writabilityChanged();

}
