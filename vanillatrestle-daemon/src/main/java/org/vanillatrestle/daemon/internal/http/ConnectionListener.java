package org.vanillatrestle.daemon.internal.http;

/**
 * Receives events of a caller's connection while a request is in progress.
 * <p>
 * Called on the VM's event loop.
 */
public interface ConnectionListener {

	/**
	 * Called when the caller's connection has closed or the VM ends the request because
	 * it stops.
	 */
	void disconnected();

	/**
	 * Called when the connection becomes writable or stops being writable.
	 */
	void writabilityChanged();

}
