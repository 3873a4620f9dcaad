package org.vanillatrestle.daemon.internal.peer;

import org.vanillatrestle.internal.membership.MembershipEvent;
import org.vanillatrestle.internal.membership.RegionReachability;

/**
 * What the daemon learns of its peers, on the event loop.
 */
public interface PeerEvents {

	/**
	 * Called when a VM of this data centre joined, is suspected, died or left.
	 * @param event the change
	 */
	void memberChanged(MembershipEvent event);

	/**
	 * Called when a region became reachable or unreachable.
	 * @param reach the new state
	 */
	void regionChanged(RegionReachability reach);

}
