package org.vanillatrestle.internal.log;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Records the entry first applied at each index and the leader of each term, and checks
 * that no replica applies a different entry at an index and that no term has a second
 * leader.
 */
final class Oracle {

	private final Map<Long, ReplicaId> leadersByTerm = new HashMap<>();

	private final TreeMap<Long, String> committedEntries = new TreeMap<>();

	private final List<Long> acknowledgedIndexes = new ArrayList<>();

	void recordLeader(ReplicaId replica, long term) {
		ReplicaId known = this.leadersByTerm.putIfAbsent(term, replica);
		assertThat(known).as("leader of term %s besides %s", term, replica).isIn(null, replica);
	}

	void recordApplied(ReplicaId replica, LogEntry entry) {
		String value = describe(entry);
		String known = this.committedEntries.putIfAbsent(entry.index(), value);
		assertThat(known).as("entry %s at %s", entry.index(), replica).isIn(null, value);
	}

	/**
	 * Records an acknowledged proposal and checks that it was committed.
	 */
	void recordAcknowledged(long index) {
		assertThat(this.committedEntries).as("acknowledged entries").containsKey(index);
		this.acknowledgedIndexes.add(index);
	}

	long lastAcknowledged() {
		return this.acknowledgedIndexes.stream().mapToLong(Long::longValue).max().orElse(0);
	}

	int acknowledgedCount() {
		return this.acknowledgedIndexes.size();
	}

	long lastCommitted() {
		return this.committedEntries.isEmpty() ? 0 : this.committedEntries.lastKey();
	}

	/**
	 * Returns the commands committed up to an index, in log order.
	 */
	List<String> commandsUpTo(long index) {
		return this.committedEntries.headMap(index, true)
			.values()
			.stream()
			.filter((value) -> value.startsWith("c"))
			.toList();
	}

	private static String describe(LogEntry entry) {
		if (entry.body() instanceof EntryBody.Command command) {
			return "c" + new String(command.bytes(), java.nio.charset.StandardCharsets.US_ASCII);
		}
		return entry.term() + " " + entry.body();
	}

}
