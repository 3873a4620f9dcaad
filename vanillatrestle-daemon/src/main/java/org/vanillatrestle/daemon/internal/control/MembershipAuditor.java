package org.vanillatrestle.daemon.internal.control;

import java.util.function.LongSupplier;

import org.vanillatrestle.VmId;
import org.vanillatrestle.daemon.internal.peer.PeerService;
import org.vanillatrestle.daemon.internal.settings.Role;
import org.vanillatrestle.daemon.internal.settings.Settings;
import org.vanillatrestle.internal.book.AuditEvent;
import org.vanillatrestle.internal.book.BookCommand;
import org.vanillatrestle.internal.membership.MembershipEvent;
import org.vanillatrestle.wire.BookCommandCodec;
import org.vanillatrestle.wire.MalformedStateException;
import org.vanillatrestle.wire.PeerChannel;
import org.vanillatrestle.wire.PeerIdentity;

/**
 * Records in the audit trail when VMs of this data centre join, leave, are suspected of
 * having failed, or return.
 * <p>
 * Only the CONTROL VM with the lowest name in a data centre reports these events. It
 * sends each record to the leader without retries, so a record may be lost. Confined to
 * the VM's event loop.
 */
public final class MembershipAuditor {

	private final Settings settings;

	private final ContractBookReplica control;

	private final PeerService peers;

	private final LongSupplier wallClockMillis;

	/**
	 * Creates the recorder.
	 * @param settings the daemon's settings
	 * @param control this VM's replica of the contract book
	 * @param peers the links to other VMs
	 * @param wallClockMillis supplies the time shown in the audit trail, in Unix
	 * milliseconds
	 */
	public MembershipAuditor(Settings settings, ContractBookReplica control, PeerService peers,
			LongSupplier wallClockMillis) {
		this.settings = settings;
		this.control = control;
		this.peers = peers;
		this.wallClockMillis = wallClockMillis;
	}

	/**
	 * Records a membership event of a VM in this data centre, if this VM is the reporter.
	 * @param event the event
	 */
	public void memberChanged(MembershipEvent event) {
		if (!isReporter()) {
			return;
		}
		BookCommand.RecordVmEvent entry = new BookCommand.RecordVmEvent(this.settings.self().id(), event.member().vm(),
				this.settings.self().region(), toAudit(event.kind()), this.wallClockMillis.getAsLong());
		sendToLeader(BookCommandCodec.encode(entry));
	}

	private boolean isReporter() {
		VmId self = this.settings.self().id();
		return this.settings.vmsWithRole(Role.CONTROL)
			.stream()
			.filter((vm) -> vm.dataCentre().equals(this.settings.self().dataCentre()))
			.allMatch((vm) -> self.compareTo(vm.id()) <= 0);
	}

	private static AuditEvent toAudit(MembershipEvent.Kind kind) {
		return switch (kind) {
			case JOINED -> AuditEvent.VM_JOINED;
			case LEFT -> AuditEvent.VM_LEFT;
			case SUSPECTED, DIED -> AuditEvent.VM_SUSPECTED;
			case CLEARED -> AuditEvent.VM_RETURNED;
		};
	}

	private void sendToLeader(byte[] command) {
		this.control.replica().status().leader().ifPresent((leader) -> {
			if (leader.vm().equals(this.settings.self().id())) {
				this.control.replica().propose(command);
			}
			else {
				this.peers.node().send(leader.vm(), PeerChannel.STATUS, command);
			}
		});
	}

	/**
	 * Proposes a record received from another VM, if the sender is its reporter.
	 * @param sender the sending VM
	 * @param payload the encoded record
	 */
	public void receive(PeerIdentity sender, byte[] payload) {
		try {
			boolean sentByReporter = BookCommandCodec.decodeCommand(payload) instanceof BookCommand.RecordVmEvent entry
					&& entry.reporter().equals(sender.vm());
			if (sentByReporter) {
				this.control.replica().propose(payload);
			}
		}
		catch (MalformedStateException ex) {
			// an unreadable record is dropped; records may be lost anyway
		}
	}

}
