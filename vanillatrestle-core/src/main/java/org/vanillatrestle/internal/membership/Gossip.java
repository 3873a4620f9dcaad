package org.vanillatrestle.internal.membership;

import java.util.List;

import org.vanillatrestle.VmId;

/**
 * A message between VMs of a data centre.
 * <p>
 * Immutable and thread safe.
 *
 * @param sender who sends it
 * @param answerWanted whether the receiver should send its own view back
 * @param members what the sender believes
 */
public record Gossip(VmId sender, boolean answerWanted, List<MemberRecord> members) {

	public Gossip {
		members = List.copyOf(members);
	}

}
