package org.vanillatrestle.internal.log;

import java.util.List;

/**
 * The follower's side of replication.
 * <p>
 * Acknowledges only what is synced, and never cuts off a committed entry. What lies
 * before the own log is committed, so a leader has the same. Not thread safe.
 */
final class EntryReceiver {

	private final LogState state;

	EntryReceiver(LogState state) {
		this.state = state;
	}

	void onRequest(ReplicaId from, LogMessage.AppendRequest request) {
		EntryLog own = this.state.entries();
		long previous = request.previousIndex();
		long known = Math.max(previous, own.baseIndex());
		if (!matches(request, known)) {
			refuse(from, request);
			return;
		}
		List<LogEntry> fresh = withoutKnown(request.entries());
		if (!fresh.isEmpty()) {
			this.state.append(fresh);
		}
		long match = Math.max(known, previous + request.entries().size());
		this.state.commitTo(Math.min(request.commitIndex(), match));
		this.state.sendAfterSync(from,
				new LogMessage.AppendResponse(this.state.term(), true, match, 0, request.round()));
	}

	private boolean matches(LogMessage.AppendRequest request, long known) {
		EntryLog own = this.state.entries();
		if (known > own.lastIndex()) {
			return false;
		}
		return known > request.previousIndex() || own.termAt(known) == request.previousTerm();
	}

	private List<LogEntry> withoutKnown(List<LogEntry> entries) {
		EntryLog own = this.state.entries();
		for (int i = 0; i < entries.size(); i++) {
			LogEntry entry = entries.get(i);
			boolean beforeBase = entry.index() <= own.baseIndex();
			boolean same = !beforeBase && entry.index() <= own.lastIndex() && own.termAt(entry.index()) == entry.term();
			if (!beforeBase && !same) {
				return entries.subList(i, entries.size());
			}
		}
		return List.of();
	}

	private void refuse(ReplicaId from, LogMessage.AppendRequest request) {
		EntryLog own = this.state.entries();
		long previous = request.previousIndex();
		long back = Math.min(own.lastIndex(), previous - 1);
		if (previous > own.baseIndex() && previous <= own.lastIndex()) {
			back = own.firstIndexOfTermAt(previous) - 1;
		}
		back = Math.max(back, this.state.commitIndex());
		this.state.sendAfterSync(from,
				new LogMessage.AppendResponse(this.state.term(), false, back, previous, request.round()));
	}

}
