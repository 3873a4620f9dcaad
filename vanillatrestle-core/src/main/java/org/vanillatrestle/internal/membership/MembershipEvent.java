package org.vanillatrestle.internal.membership;

/**
 * A change of what a VM believes of another.
 * <p>
 * Immutable and thread safe.
 *
 * @param kind what changed
 * @param member the new record
 */
public record MembershipEvent(Kind kind, MemberRecord member) {

	/**
	 * What changed.
	 */
	public enum Kind {

		/**
		 * The VM is new, came back after it was gone, or started anew.
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
		 * The VM is taken for dead.
		 */
		DIED,

		/**
		 * The VM said that it leaves.
		 */
		LEFT

	}

}
