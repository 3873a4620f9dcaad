package org.vanillatrestle.internal.book;

/**
 * The kind of event that an audit record describes.
 * <p>
 * Immutable and thread safe.
 */
public enum AuditEvent {

	/**
	 * A contract change came into force.
	 */
	ACCEPTED,

	/**
	 * A change that had already been accepted was sent again.
	 */
	REPEATED,

	/**
	 * A change was refused because its revision does not directly follow the revision in
	 * force, or because there was no contract to remove.
	 */
	CONFLICT,

	/**
	 * A change was refused because its document is invalid.
	 */
	INVALID,

	/**
	 * A VM joined.
	 */
	VM_JOINED,

	/**
	 * A VM left after announcing it.
	 */
	VM_LEFT,

	/**
	 * A VM stopped responding and is suspected to have failed.
	 */
	VM_SUSPECTED,

	/**
	 * A suspected VM responded again.
	 */
	VM_RETURNED;

	/**
	 * Returns whether the event concerns a VM rather than a contract.
	 * @return whether the event concerns a VM
	 */
	public boolean isVmEvent() {
		return compareTo(VM_JOINED) >= 0;
	}

}
