package org.vanillatrestle.internal.membership;

import org.vanillatrestle.VmId;

/**
 * The status of one VM and the evidence for it.
 * <p>
 * Immutable and thread safe. Records of one VM are totally ordered by
 * {@link #supersedes}: by incarnation, then leaving, then heartbeat, then status. Each VM
 * keeps the greatest record it has seen, so views converge whatever the order of
 * messages. A death declared on older evidence cannot override a newer heartbeat.
 *
 * @param vm the VM
 * @param address the address at which it accepts links, as {@code host:port}; empty in
 * messages to VMs that should already know it
 * @param roles the roles of the daemon as a bit set
 * @param incarnation a number that increases with each start and each refutation
 * @param heartbeat a counter of the VM's heartbeats, which increases within the
 * incarnation
 * @param status the status derived from this evidence
 * @param appliedIndex the VM's applied index of the contract book at this heartbeat
 */
public record MemberRecord(VmId vm, String address, int roles, long incarnation, long heartbeat, MemberStatus status,
		long appliedIndex) {

	/**
	 * Tells whether this record takes precedence over another record of the same VM.
	 * @param other the other record
	 * @return whether this record replaces the other one
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
	 * Returns a copy with another status.
	 * @param newStatus the status
	 * @return the record
	 */
	public MemberRecord withStatus(MemberStatus newStatus) {
		return new MemberRecord(this.vm, this.address, this.roles, this.incarnation, this.heartbeat, newStatus,
				this.appliedIndex);
	}

	/**
	 * Returns a copy with another address.
	 * @param newAddress the address, empty to leave it out of a message
	 * @return the record
	 */
	MemberRecord withAddress(String newAddress) {
		return new MemberRecord(this.vm, newAddress, this.roles, this.incarnation, this.heartbeat, this.status,
				this.appliedIndex);
	}

	/**
	 * Returns the record for the VM's next heartbeat.
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
