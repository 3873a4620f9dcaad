package org.vanillatrestle.daemon.internal.peer;

import org.jboss.logging.Logger;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.membership.Gossip;
import org.vanillatrestle.internal.membership.MembershipEvent;
import org.vanillatrestle.internal.membership.MembershipOutput;
import org.vanillatrestle.internal.membership.RegionReachability;
import org.vanillatrestle.internal.membership.SummaryMessage;
import org.vanillatrestle.internal.membership.SummaryOutput;
import org.vanillatrestle.wire.MembershipCodec;
import org.vanillatrestle.wire.PeerChannel;
import org.vanillatrestle.wire.PeerNode;

/**
 * Sends the messages of the membership protocol and of the summary exchange to other VMs,
 * and reports their changes to the daemon.
 * <p>
 * Used on the VM's event loop.
 */
final class PeerOutputs implements MembershipOutput, SummaryOutput {

	private static final Logger logger = Logger.getLogger(PeerOutputs.class);

	private final PeerNode node;

	private final PeerEvents events;

	PeerOutputs(PeerNode node, PeerEvents events) {
		this.node = node;
		this.events = events;
	}

	@Override
	public void send(VmId receiver, Gossip message) {
		this.node.send(receiver, PeerChannel.MEMBERSHIP, MembershipCodec.encode(message));
	}

	@Override
	public void send(VmId receiver, SummaryMessage message) {
		this.node.send(receiver, PeerChannel.SUMMARY, MembershipCodec.encode(message));
	}

	@Override
	public void changed(MembershipEvent event) {
		logger.infof("Membership: %s %s", event.member().vm(), event.kind());
		this.events.memberChanged(event);
	}

	@Override
	public void changed(RegionReachability reachability) {
		logger.infof("Membership: region %s is %s", reachability.region(),
				(reachability.reachable()) ? "reachable" : "unreachable");
		this.events.regionChanged(reachability);
	}

}
