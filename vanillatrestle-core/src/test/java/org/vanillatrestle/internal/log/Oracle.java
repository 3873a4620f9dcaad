package org.vanillatrestle.internal.log;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Knows what was committed first at each index and who led each term.
 */
final class Oracle {

	private final Map<Long, ReplicaId> leaders = new HashMap<>();

	private final TreeMap<Long, String> committed = new TreeMap<>();

	private final List<Long> acknowledged = new ArrayList<>();

	void leads(ReplicaId replica, long term) {
		ReplicaId known = this.leaders.putIfAbsent(term, replica);
		assertThat(known).as("leader of term %s besides %s", term, replica).isIn(null, replica);
	}

	void applied(ReplicaId replica, LogEntry entry) {
		String value = describe(entry);
		String known = this.committed.putIfAbsent(entry.index(), value);
		assertThat(known).as("entry %s at %s", entry.index(), replica).isIn(null, value);
	}

	/**
	 * Checks a proposer's acknowledgement.
	 */
	void acknowledged(long index) {
		assertThat(this.committed).as("acknowledged entries").containsKey(index);
		this.acknowledged.add(index);
	}

	int acknowledgedCount() {
		return this.acknowledged.size();
	}

	long lastCommitted() {
		return this.committed.isEmpty() ? 0 : this.committed.lastKey();
	}

	/**
	 * The commands committed up to an index, in order.
	 */
	List<String> commandsUpTo(long index) {
		return this.committed.headMap(index, true).values().stream().filter((value) -> value.startsWith("c")).toList();
	}

	private static String describe(LogEntry entry) {
		if (entry.body() instanceof EntryBody.Command command) {
			return "c" + new String(command.bytes(), java.nio.charset.StandardCharsets.US_ASCII);
		}
		return entry.term() + " " + entry.body();
	}

}
