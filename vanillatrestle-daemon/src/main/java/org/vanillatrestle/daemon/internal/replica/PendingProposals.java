package org.vanillatrestle.daemon.internal.replica;

import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.vanillatrestle.internal.log.LogEntry;
import org.vanillatrestle.internal.log.Proposal;

/**
 * The proposals that are not applied yet, by log index.
 * <p>
 * A proposal is committed only if the entry applied at its index has its term. Used only
 * by the replica's thread.
 */
final class PendingProposals {

	private final TreeMap<Long, Pending> byIndex = new TreeMap<>();

	void add(Proposal.Appended appended, CompletableFuture<ProposalOutcome> future) {
		Pending replaced = this.byIndex.put(appended.index(), new Pending(appended.term(), future));
		if (replaced != null) {
			replaced.future().complete(new ProposalOutcome.Unknown("another replica became the leader"));
		}
	}

	void completeApplied(LogEntry entry, byte[] reply) {
		Pending pending = this.byIndex.remove(entry.index());
		if (pending == null) {
			return;
		}
		if (pending.term() == entry.term()) {
			pending.future().complete(new ProposalOutcome.Committed(entry.index(), reply));
			return;
		}
		pending.future().complete(new ProposalOutcome.Unknown("another replica became the leader"));
	}

	void completeAll(String reason) {
		this.byIndex.values().forEach((pending) -> pending.future().complete(new ProposalOutcome.Unknown(reason)));
		this.byIndex.clear();
	}

	boolean isEmpty() {
		return this.byIndex.isEmpty();
	}

	/**
	 * The term and future of a pending proposal.
	 */
	private record Pending(long term, CompletableFuture<ProposalOutcome> future) {
	}

}
