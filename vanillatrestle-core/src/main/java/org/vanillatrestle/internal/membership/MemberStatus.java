package org.vanillatrestle.internal.membership;

/**
 * What a VM believes of another VM of its data centre.
 * <p>
 * Immutable and thread safe. The order of the constants matters: for equal evidence the
 * later one wins.
 */
public enum MemberStatus {

	/**
	 * Its heartbeats arrive.
	 */
	ALIVE(true),

	/**
	 * Its heartbeats stopped, or a link to it was lost; it may still work.
	 */
	SUSPECT(true),

	/**
	 * Its heartbeats stopped for so long that others take over its work.
	 */
	DEAD(false),

	/**
	 * It said that it leaves.
	 */
	LEFT(false);

	private final boolean present;

	MemberStatus(boolean present) {
		this.present = present;
	}

	/**
	 * Tells whether a member of this status is still counted as a member.
	 * @return whether it gets messages
	 */
	public boolean isPresent() {
		return this.present;
	}

}
