package org.vanillatrestle.internal.membership;

import java.util.List;

import org.vanillatrestle.VmId;

/**
 * A membership message between VMs of a data centre.
 * <p>
 * Immutable and thread safe.
 *
 * @param sender the VM that sends the message
 * @param replyRequested whether the receiver should reply with its own view
 * @param members the member records in the sender's view
 */
public record Gossip(VmId sender, boolean replyRequested, List<MemberRecord> members) {

	public Gossip {
		members = List.copyOf(members);
	}

}
