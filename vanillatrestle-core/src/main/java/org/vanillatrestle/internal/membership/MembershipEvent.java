package org.vanillatrestle.internal.membership;

/**
 * A change in a VM's view of another VM.
 * <p>
 * Immutable and thread safe.
 *
 * @param kind the kind of change
 * @param member the new record
 */
public record MembershipEvent(Kind kind, MemberRecord member) {

	/**
	 * The kind of change.
	 */
	public enum Kind {

		/**
		 * The VM is new, returned after it was dead or had left, or restarted.
		 */
		JOINED,

		/**
		 * The VM is suspected.
		 */
		SUSPECTED,

		/**
		 * The VM is no longer suspected.
		 */
		CLEARED,

		/**
		 * The VM is considered dead.
		 */
		DIED,

		/**
		 * The VM announced that it is leaving.
		 */
		LEFT

	}

}
