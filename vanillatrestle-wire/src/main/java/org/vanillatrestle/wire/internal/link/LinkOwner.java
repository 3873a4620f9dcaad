package org.vanillatrestle.wire.internal.link;

import org.vanillatrestle.wire.ForwardHandler;
import org.vanillatrestle.wire.PeerHandler;
import org.vanillatrestle.wire.PeerIdentity;
import org.vanillatrestle.wire.PeerSettings;

/**
 * What a link needs to know of its VM. Used on the VM's event loop only.
 */
public interface LinkOwner {

	/**
	 * Returns this VM.
	 * @return the identity to say in the hello
	 */
	PeerIdentity self();

	/**
	 * Returns the limits and times.
	 * @return the settings
	 */
	PeerSettings settings();

	/**
	 * Returns who gets datagrams and calls.
	 * @return the handler
	 */
	PeerHandler handler();

	/**
	 * Returns who gets forwarded requests.
	 * @return the handler
	 */
	ForwardHandler forwardHandler();

	/**
	 * Returns the applied index of the contract book.
	 * @return the index
	 */
	long appliedIndex();

	/**
	 * Called when a link has got its peer's hello.
	 * @param link the link
	 * @param appliedIndex the peer's applied index of the contract book
	 * @return whether the link is to be used; if not, it is closed
	 */
	boolean onHello(PeerLink link, long appliedIndex);

	/**
	 * Called when a link has been closed, whether or not it got a hello.
	 * @param link the link
	 */
	void onClosed(PeerLink link);

}
