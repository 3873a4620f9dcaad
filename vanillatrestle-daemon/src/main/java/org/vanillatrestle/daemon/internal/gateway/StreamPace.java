package org.vanillatrestle.daemon.internal.gateway;

/**
 * When the parts of an answer were sent to the caller.
 * <p>
 * Used on the VM's event loop.
 */
final class StreamPace {

	private static final long NONE = -1;

	private long firstPartMillis = NONE;

	private long lastPartMillis;

	private long longestPauseMillis;

	/**
	 * Notes a part.
	 * @param atMillis the time since the request came
	 */
	void part(long atMillis) {
		if (isBegun()) {
			this.longestPauseMillis = Math.max(this.longestPauseMillis, atMillis - this.lastPartMillis);
		}
		else {
			this.firstPartMillis = atMillis;
		}
		this.lastPartMillis = atMillis;
	}

	boolean isBegun() {
		return this.firstPartMillis != NONE;
	}

	/**
	 * Returns when the first part was sent.
	 * @return the time since the request came, -1 if there was none
	 */
	long firstPartMillis() {
		return this.firstPartMillis;
	}

	long longestPauseMillis() {
		return this.longestPauseMillis;
	}

	/**
	 * Tells whether the answer came as fast as wanted.
	 * @param objectiveMillis the time within which the first part is wanted
	 * @param pauseObjectiveMillis the longest pause wanted
	 * @return whether both were kept
	 */
	boolean isWithin(long objectiveMillis, long pauseObjectiveMillis) {
		return isBegun() && this.firstPartMillis <= objectiveMillis && this.longestPauseMillis <= pauseObjectiveMillis;
	}

}
