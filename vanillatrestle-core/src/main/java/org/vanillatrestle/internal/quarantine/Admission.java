package org.vanillatrestle.internal.quarantine;

import java.util.List;

/**
 * The decision whether a request may be sent to an engine, as far as the parts of its
 * prompt are concerned.
 * <p>
 * Immutable and thread safe.
 *
 * @param action what is done with the request
 * @param suspended the suspended parts that the request holds, empty if there are none
 * @param retryAfterMillis the time in milliseconds after which the parts are tried again,
 * 0 if there are no suspended parts
 */
public record Admission(Action action, List<SuspectPart> suspended, long retryAfterMillis) {

	static final Admission ADMITTED = new Admission(Action.ADMIT, List.of(), 0);

	static final Admission ISOLATED = new Admission(Action.WAIT, List.of(), 0);

	public Admission {
		suspended = List.copyOf(suspended);
	}

	/**
	 * Checks whether the request may not be sent now.
	 * @return whether it has to wait or is refused
	 */
	public boolean isHeldBack() {
		return this.action == Action.WAIT || this.action == Action.REFUSE;
	}

	/**
	 * What is done with the request.
	 */
	public enum Action {

		/** The request may be sent. */
		ADMIT,

		/**
		 * The request may be sent by this VM, to find out whether its parts still crash
		 * engines.
		 */
		PROBE,

		/**
		 * Another request with the same suspect part is about to be answered or to crash.
		 */
		WAIT,

		/** The request holds parts that crash engines. */
		REFUSE

	}

}
