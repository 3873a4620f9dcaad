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
 * Notes in the audit trail which VMs of this data centre join, leave, fall silent and
 * return.
 * <p>
 * Of the CONTROL VMs of a data centre the one with the lowest name notes; it passes the
 * note on to the leader, and a note may be lost. Used on the VM's event loop.
 */
public final class VmNotes {

	private final Settings settings;

	private final ControlPart control;

	private final PeerService peers;

	private final LongSupplier wallClockMillis;

	/**
	 * Creates the notes.
	 * @param settings the daemon's settings
	 * @param control this VM's replica of the contract book
	 * @param peers the links to other VMs
	 * @param wallClockMillis the time that is shown, in milliseconds since 1970
	 */
	public VmNotes(Settings settings, ControlPart control, PeerService peers, LongSupplier wallClockMillis) {
		this.settings = settings;
		this.control = control;
		this.peers = peers;
		this.wallClockMillis = wallClockMillis;
	}

	/**
	 * Takes a change among the VMs of this data centre.
	 * @param event the change
	 */
	public void memberChanged(MembershipEvent event) {
		if (!isReporter()) {
			return;
		}
		BookCommand.RecordVmEvent note = new BookCommand.RecordVmEvent(this.settings.self().vm(), event.member().vm(),
				this.settings.self().region(), toAudit(event.kind()), this.wallClockMillis.getAsLong());
		pass(BookCommandCodec.encode(note));
	}

	private boolean isReporter() {
		VmId self = this.settings.self().vm();
		return this.settings.withRole(Role.CONTROL)
			.stream()
			.filter((vm) -> vm.dataCentre().equals(this.settings.self().dataCentre()))
			.allMatch((vm) -> self.compareTo(vm.vm()) <= 0);
	}

	private static AuditEvent toAudit(MembershipEvent.Kind kind) {
		return switch (kind) {
			case JOINED -> AuditEvent.VM_JOINED;
			case LEFT -> AuditEvent.VM_LEFT;
			case SUSPECTED, DIED -> AuditEvent.VM_SUSPECTED;
			case CLEARED -> AuditEvent.VM_RETURNED;
		};
	}

	private void pass(byte[] command) {
		this.control.replica().status().leader().ifPresent((leader) -> {
			if (leader.vm().equals(this.settings.self().vm())) {
				this.control.replica().propose(command);
			}
			else {
				this.peers.node().send(leader.vm(), PeerChannel.STATUS, command);
			}
		});
	}

	/**
	 * Takes a note of another VM.
	 * @param sender the VM
	 * @param payload the encoded note
	 */
	public void receive(PeerIdentity sender, byte[] payload) {
		try {
			boolean own = BookCommandCodec.decodeCommand(payload) instanceof BookCommand.RecordVmEvent note
					&& note.reporter().equals(sender.vm());
			if (own) {
				this.control.replica().propose(payload);
			}
		}
		catch (MalformedStateException ex) {
			// a note that can't be read is lost, as any note may be
		}
	}

}
