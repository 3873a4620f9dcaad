package org.vanillatrestle.internal.quarantine;

import java.util.List;

/**
 * The time between the sending of a prompt to an engine and the beginning of its answer,
 * in which one of the prompt's parts may crash the engine.
 * <p>
 * Ends once; later calls have no effect. Not thread safe.
 */
public final class PromptStart {

	private final PartQuarantine quarantine;

	// what was known of the prompt's shared parts when it was sent
	private final List<SuspectPart> parts;

	private boolean ended;

	PromptStart(PartQuarantine quarantine, List<SuspectPart> parts) {
		this.quarantine = quarantine;
		this.parts = parts;
	}

	List<SuspectPart> parts() {
		return this.parts;
	}

	/**
	 * Notes that the engine has begun to answer, which clears all parts.
	 * @param nowNanos the monotonic time
	 */
	public void answerBegan(long nowNanos) {
		if (!this.ended) {
			end();
			this.quarantine.clear(this.parts, nowNanos);
		}
	}

	/**
	 * Notes that the prompt was not answered, for whatever reason.
	 */
	public void end() {
		if (!this.ended) {
			this.ended = true;
			this.quarantine.endIsolation(this.parts);
		}
	}

}
