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
 * Builds the summary of this data centre that is sent to other data centres.
 * <p>
 * Not thread safe: used on the event loop.
 */
final class LocalSummaryBuilder {

	private static final int MAX_CONTACTS = 2;

	private final PeerNode node;

	private final BookPort book;

	private final Supplier<List<CapacityRow>> capacity;

	LocalSummaryBuilder(PeerNode node, BookPort book, Supplier<List<CapacityRow>> capacity) {
		this.node = node;
		this.book = book;
		this.capacity = capacity;
	}

	DataCentreSummary build(Membership membership) {
		PeerIdentity self = this.node.self();
		List<MemberRecord> members = new ArrayList<>(membership.presentMembers());
		members.add(membership.self());
		List<String> contacts = members.stream()
			.sorted((left, right) -> left.vm().compareTo(right.vm()))
			.limit(MAX_CONTACTS)
			.map(MemberRecord::address)
			.toList();
		return new DataCentreSummary(self.dataCentre(), self.region(), this.book.appliedIndex(), contacts,
				this.capacity.get());
	}

}
