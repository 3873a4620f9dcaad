package org.vanillatrestle.bench.internal.standin;

/**
 * What a stand-in target does wrong on command.
 * <p>
 * Immutable and thread safe.
 */
public enum FaultMode {

	/**
	 * Serves as it should.
	 */
	NONE,

	/**
	 * Takes longer by the fault's factor.
	 */
	SLOW {
		@Override
		public double slowdown(double factor) {
			return factor;
		}
	},

	/**
	 * Stops sending after some chunks and keeps the connection open.
	 */
	STALL,

	/**
	 * Answers 503 without running the request.
	 */
	REFUSE,

	/**
	 * Resets the connection after some chunks.
	 */
	CRASH_AFTER,

	/**
	 * Sends bytes that are no valid answer after some chunks.
	 */
	GARBAGE,

	/**
	 * Ends the answer early after some chunks.
	 */
	SHORT,

	/**
	 * Forgets the prefix cache once and then serves as it should.
	 */
	COLD;

	/**
	 * Returns by how much this fault slows the target.
	 * @param factor the fault's factor
	 * @return the factor for all durations, 1 if the fault does not slow
	 */
	public double slowdown(double factor) {
		return 1;
	}

	/**
	 * Tells whether this fault breaks an answer under way.
	 * @return whether it does
	 */
	public boolean breaksAnswers() {
		return this == STALL || this == CRASH_AFTER || this == GARBAGE || this == SHORT;
	}

}
