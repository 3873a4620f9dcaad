package org.vanillatrestle.daemon.internal.peer;

import org.vanillatrestle.internal.membership.MembershipEvent;
import org.vanillatrestle.internal.membership.RegionReachability;

/**
 * Listener for changes among the daemon's peers. Called on the event loop.
 */
public interface PeerEvents {

	/**
	 * Called when a VM of this data centre joined, became suspected, died or left.
	 * @param event the change
	 */
	void memberChanged(MembershipEvent event);

	/**
	 * Called when a region became reachable or unreachable.
	 * @param reachability the region and its new state
	 */
	void regionChanged(RegionReachability reachability);

}
