package org.vanillatrestle.daemon.internal.replica;

import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.vanillatrestle.internal.log.LogEntry;
import org.vanillatrestle.internal.log.Proposal;

/**
 * The proposals that wait to be applied, by index.
 * <p>
 * A proposal is committed only if the applied entry has its term. Used by the replica's
 * thread only.
 */
final class PendingProposals {

	private final TreeMap<Long, Pending> byIndex = new TreeMap<>();

	void add(Proposal.Appended appended, CompletableFuture<ProposalOutcome> future) {
		Pending former = this.byIndex.put(appended.index(), new Pending(appended.term(), future));
		if (former != null) {
			former.future().complete(new ProposalOutcome.Unknown("another leader took over"));
		}
	}

	void applied(LogEntry entry, byte[] reply) {
		Pending pending = this.byIndex.remove(entry.index());
		if (pending == null) {
			return;
		}
		if (pending.term() == entry.term()) {
			pending.future().complete(new ProposalOutcome.Committed(entry.index(), reply));
			return;
		}
		pending.future().complete(new ProposalOutcome.Unknown("another leader took over"));
	}

	void endAll(String reason) {
		this.byIndex.values().forEach((pending) -> pending.future().complete(new ProposalOutcome.Unknown(reason)));
		this.byIndex.clear();
	}

	boolean isEmpty() {
		return this.byIndex.isEmpty();
	}

	/**
	 * A proposal that waits.
	 */
	private record Pending(long term, CompletableFuture<ProposalOutcome> future) {
	}

}
