package org.vanillatrestle.daemon.internal.gateway;

/**
 * When the parts of an answer were sent to the caller.
 * <p>
 * Used on the VM's event loop.
 */
final class ResponseTiming {

	private static final long NONE = -1;

	private long firstPartMillis = NONE;

	private long lastPartMillis;

	private long longestPauseMillis;

	/**
	 * Notes a part.
	 * @param atMillis the time since the request came
	 */
	void recordPart(long atMillis) {
		if (hasFirstPart()) {
			this.longestPauseMillis = Math.max(this.longestPauseMillis, atMillis - this.lastPartMillis);
		}
		else {
			this.firstPartMillis = atMillis;
		}
		this.lastPartMillis = atMillis;
	}

	boolean hasFirstPart() {
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
	boolean isWithinObjectives(long objectiveMillis, long pauseObjectiveMillis) {
		return hasFirstPart() && this.firstPartMillis <= objectiveMillis
				&& this.longestPauseMillis <= pauseObjectiveMillis;
	}

}
