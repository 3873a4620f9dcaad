package org.vanillatrestle.internal.log;

import java.util.List;

/**
 * The follower's side of replication.
 * <p>
 * Acknowledges entries only after they are synced, and never truncates a committed entry.
 * Entries before the start of the follower's log in memory are committed, so every leader
 * has the same ones and they need not be compared. Not thread safe.
 */
final class EntryReceiver {

	private final LogState state;

	EntryReceiver(LogState state) {
		this.state = state;
	}

	void onAppendRequest(ReplicaId from, LogMessage.AppendRequest request) {
		EntryLog ownLog = this.state.entries();
		long previous = request.previousIndex();
		long checkIndex = Math.max(previous, ownLog.baseIndex());
		if (!matches(request, checkIndex)) {
			reject(from, request);
			return;
		}
		List<LogEntry> newEntries = skipStored(request.entries());
		if (!newEntries.isEmpty()) {
			this.state.append(newEntries);
		}
		long matchIndex = Math.max(checkIndex, previous + request.entries().size());
		this.state.commitTo(Math.min(request.commitIndex(), matchIndex));
		this.state.sendAfterSync(from,
				new LogMessage.AppendResponse(this.state.term(), true, matchIndex, 0, request.readRound()));
	}

	private boolean matches(LogMessage.AppendRequest request, long checkIndex) {
		EntryLog ownLog = this.state.entries();
		if (checkIndex > ownLog.lastIndex()) {
			return false;
		}
		return checkIndex > request.previousIndex() || ownLog.termAt(checkIndex) == request.previousTerm();
	}

	private List<LogEntry> skipStored(List<LogEntry> entries) {
		EntryLog ownLog = this.state.entries();
		for (int i = 0; i < entries.size(); i++) {
			LogEntry entry = entries.get(i);
			boolean beforeBase = entry.index() <= ownLog.baseIndex();
			boolean alreadyStored = !beforeBase && entry.index() <= ownLog.lastIndex()
					&& ownLog.termAt(entry.index()) == entry.term();
			if (!beforeBase && !alreadyStored) {
				return entries.subList(i, entries.size());
			}
		}
		return List.of();
	}

	private void reject(ReplicaId from, LogMessage.AppendRequest request) {
		EntryLog ownLog = this.state.entries();
		long previous = request.previousIndex();
		long retryIndex = Math.min(ownLog.lastIndex(), previous - 1);
		if (previous > ownLog.baseIndex() && previous <= ownLog.lastIndex()) {
			retryIndex = ownLog.firstIndexOfTermAt(previous) - 1;
		}
		retryIndex = Math.max(retryIndex, this.state.commitIndex());
		this.state.sendAfterSync(from,
				new LogMessage.AppendResponse(this.state.term(), false, retryIndex, previous, request.readRound()));
	}

}
