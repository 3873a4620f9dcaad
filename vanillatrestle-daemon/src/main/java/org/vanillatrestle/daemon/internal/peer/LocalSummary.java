package org.vanillatrestle.daemon.internal.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

import org.vanillatrestle.internal.membership.CapacityRow;
import org.vanillatrestle.internal.membership.DataCentreSummary;
import org.vanillatrestle.internal.membership.MemberRecord;
import org.vanillatrestle.internal.membership.Membership;
import org.vanillatrestle.wire.PeerIdentity;
import org.vanillatrestle.wire.PeerNode;

/**
 * Sums this data centre up for the others.
 * <p>
 * Not thread safe: used on the event loop.
 */
final class LocalSummary {

	private static final int CONTACTS = 2;

	private final PeerNode node;

	private final BookPort book;

	private final Supplier<List<CapacityRow>> capacity;

	LocalSummary(PeerNode node, BookPort book, Supplier<List<CapacityRow>> capacity) {
		this.node = node;
		this.book = book;
		this.capacity = capacity;
	}

	DataCentreSummary build(Membership membership) {
		PeerIdentity self = this.node.self();
		List<MemberRecord> members = new ArrayList<>(membership.presentMembers());
		members.add(membership.self());
		List<String> contacts = members.stream()
			.sorted((one, other) -> one.vm().compareTo(other.vm()))
			.limit(CONTACTS)
			.map(MemberRecord::address)
			.toList();
		return new DataCentreSummary(self.dataCentre(), self.region(), this.book.appliedIndex(), contacts,
				this.capacity.get());
	}

}
