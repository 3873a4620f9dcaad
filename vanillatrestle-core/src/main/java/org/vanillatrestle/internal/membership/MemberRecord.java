package org.vanillatrestle.internal.membership;

import org.vanillatrestle.VmId;

/**
 * What is known of one VM, and by which evidence.
 * <p>
 * Immutable and thread safe. Records of one VM are totally ordered by
 * {@link #supersedes}: by incarnation, then leaving, then heartbeat, then status. Each VM
 * keeps the greatest it has seen, so views agree whatever the order of messages. A death
 * found on old evidence can't overrule a newer heartbeat.
 *
 * @param vm the VM
 * @param address where it accepts links, as {@code host:port}, empty in a message to a VM
 * that should know it
 * @param roles the daemon's roles as bits
 * @param incarnation higher after each start and each refutation
 * @param heartbeat counts the VM's own periods within the incarnation
 * @param status what is believed on this evidence
 * @param appliedIndex the VM's applied index of the contract book at this heartbeat
 */
public record MemberRecord(VmId vm, String address, int roles, long incarnation, long heartbeat, MemberStatus status,
		long appliedIndex) {

	/**
	 * Tells whether this record rests on better evidence than another of the same VM.
	 * @param other the other record
	 * @return whether this one replaces it
	 */
	public boolean supersedes(MemberRecord other) {
		if (this.incarnation != other.incarnation) {
			return this.incarnation > other.incarnation;
		}
		if (hasLeft() != other.hasLeft()) {
			return hasLeft();
		}
		if (this.heartbeat != other.heartbeat) {
			return this.heartbeat > other.heartbeat;
		}
		return this.status.compareTo(other.status) > 0;
	}

	/**
	 * Returns the same evidence with another status.
	 * @param newStatus the status
	 * @return the record
	 */
	public MemberRecord withStatus(MemberStatus newStatus) {
		return new MemberRecord(this.vm, this.address, this.roles, this.incarnation, this.heartbeat, newStatus,
				this.appliedIndex);
	}

	/**
	 * Returns the same evidence with another address.
	 * @param newAddress the address, empty to leave it out of a message
	 * @return the record
	 */
	MemberRecord withAddress(String newAddress) {
		return new MemberRecord(this.vm, newAddress, this.roles, this.incarnation, this.heartbeat, this.status,
				this.appliedIndex);
	}

	/**
	 * Returns the VM's next heartbeat.
	 * @param newIncarnation the incarnation
	 * @param newAppliedIndex the applied index
	 * @return the record
	 */
	MemberRecord next(long newIncarnation, long newAppliedIndex) {
		return new MemberRecord(this.vm, this.address, this.roles, newIncarnation, this.heartbeat + 1, this.status,
				newAppliedIndex);
	}

	private boolean hasLeft() {
		return this.status == MemberStatus.LEFT;
	}

}
