package org.vanillatrestle.daemon.internal.replica;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.vanillatrestle.internal.log.ReadResult;

/**
 * The reads that are not confirmed yet, by ticket.
 * <p>
 * Used only by the replica's thread.
 */
final class PendingReads {

	private final Map<Long, CompletableFuture<ReadOutcome>> byTicket = new HashMap<>();

	void add(long ticket, CompletableFuture<ReadOutcome> future) {
		this.byTicket.put(ticket, future);
	}

	void complete(ReadResult result) {
		CompletableFuture<ReadOutcome> future = this.byTicket.remove(result.ticket());
		if (future != null) {
			future.complete(new ReadOutcome(result.confirmed(), result.index()));
		}
	}

	void completeAll(ReadOutcome outcome) {
		this.byTicket.values().forEach((read) -> read.complete(outcome));
		this.byTicket.clear();
	}

}
