package org.vanillatrestle.internal.membership;

/**
 * The status of a VM in the view of another VM of the same data centre.
 * <p>
 * Immutable and thread safe. The order of the constants matters: between records with
 * equal evidence, the one whose status is declared later wins.
 */
public enum MemberStatus {

	/**
	 * The VM's heartbeats arrive.
	 */
	ALIVE(true),

	/**
	 * The VM's heartbeats stopped arriving, or a link to it was lost; it may still be
	 * running.
	 */
	SUSPECT(true),

	/**
	 * The VM's heartbeats stopped arriving for so long that other VMs take over its work.
	 */
	DEAD(false),

	/**
	 * The VM announced that it is leaving.
	 */
	LEFT(false);

	private final boolean present;

	MemberStatus(boolean present) {
		this.present = present;
	}

	/**
	 * Tells whether a VM with this status still counts as a member.
	 * @return whether messages are sent to the VM
	 */
	public boolean isPresent() {
		return this.present;
	}

}
