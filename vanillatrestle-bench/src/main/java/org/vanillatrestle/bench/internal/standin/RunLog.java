package org.vanillatrestle.bench.internal.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.vanillatrestle.bench.internal.http.Responses;

/**
 * Every run of a stand-in target, in the order of their starts.
 * <p>
 * Thread safe. Keeps the latest {@value #MAX_RUNS} runs.
 */
public final class RunLog {

	static final int MAX_RUNS = 200_000;

	private final Map<Long, Run> runs = new LinkedHashMap<>() {
		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Run> eldest) {
			return size() > MAX_RUNS;
		}
	};

	private long nextNumber;

	/**
	 * Adds a run.
	 * @param run the run
	 * @return the same run
	 */
	public synchronized Run add(Run run) {
		this.runs.put(this.nextNumber++, run);
		return run;
	}

	/**
	 * Returns the runs.
	 * @return a copy of the log
	 */
	public synchronized List<Run> runs() {
		return new ArrayList<>(this.runs.values());
	}

	/**
	 * Writes the log as JSON.
	 * @return the object
	 */
	public ObjectNode toJson() {
		ObjectNode top = Responses.object();
		ArrayNode list = top.putArray("runs");
		runs().forEach((run) -> list.add(run.toJson()));
		return top;
	}

}
