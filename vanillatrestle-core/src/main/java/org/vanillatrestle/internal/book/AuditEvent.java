package org.vanillatrestle.internal.book;

/**
 * What an audit record tells of.
 * <p>
 * Immutable and thread safe.
 */
public enum AuditEvent {

	/**
	 * A contract change came into force.
	 */
	ACCEPTED,

	/**
	 * A change that had been accepted was sent again.
	 */
	REPEATED,

	/**
	 * A change was refused, as it did not follow what is in force.
	 */
	CONFLICT,

	/**
	 * A change was refused, as its document has a fault.
	 */
	INVALID,

	/**
	 * A VM joined.
	 */
	VM_JOINED,

	/**
	 * A VM left after it had said so.
	 */
	VM_LEFT,

	/**
	 * A VM was no longer heard of.
	 */
	VM_SUSPECTED,

	/**
	 * A suspected VM was heard of again.
	 */
	VM_RETURNED;

	/**
	 * Tells whether the event concerns a VM rather than a contract.
	 * @return whether it concerns a VM
	 */
	public boolean concernsVm() {
		return compareTo(VM_JOINED) >= 0;
	}

}
