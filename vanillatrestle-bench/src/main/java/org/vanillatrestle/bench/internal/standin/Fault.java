package org.vanillatrestle.bench.internal.standin;

import org.vanillatrestle.InvalidDocumentException;
import org.vanillatrestle.internal.json.JsonObject;

/**
 * One fault on command.
 * <p>
 * Immutable and thread safe.
 *
 * @param mode what goes wrong
 * @param afterChunks how many chunks of an answer are sent before it goes wrong
 * @param factor by how much a slow target is slower
 * @param times how many requests it hits, 0 for all until the next command
 */
public record Fault(FaultMode mode, int afterChunks, double factor, int times) {

	/**
	 * No fault.
	 */
	public static final Fault NONE = new Fault(FaultMode.NONE, 0, 1, 0);

	private static final double DEFAULT_FACTOR = 10;

	/**
	 * Makes a fault that hits every request.
	 * @param mode what goes wrong
	 * @param afterChunks how many chunks are sent before it goes wrong
	 * @return the fault
	 */
	public static Fault of(FaultMode mode, int afterChunks) {
		return new Fault(mode, afterChunks, DEFAULT_FACTOR, 0);
	}

	/**
	 * Reads a command.
	 * @param json the body of {@code POST /faults}
	 * @return the fault
	 * @throws InvalidDocumentException if the command has a fault in its form
	 */
	public static Fault read(String json) throws InvalidDocumentException {
		JsonObject top = JsonObject.parse(json);
		Fault fault = new Fault(top.constant("mode", FaultMode.class),
				(int) top.integer("afterChunks", 0, Integer.MAX_VALUE, 0), top.nonNegative("factor", DEFAULT_FACTOR),
				(int) top.integer("times", 0, Integer.MAX_VALUE, 0));
		top.rejectUnknownFields();
		return fault;
	}

	/**
	 * Tells whether an answer breaks before its next chunk.
	 * @param sentChunks how many chunks of the answer this run has sent
	 * @return whether it breaks now
	 */
	public boolean breaksAt(long sentChunks) {
		return this.mode.breaksAnswers() && sentChunks >= this.afterChunks;
	}

	/**
	 * Returns by how much this fault slows the target.
	 * @return the factor for all durations, 1 if it does not slow
	 */
	public double slowdown() {
		return this.mode.slowdown(this.factor);
	}

}
