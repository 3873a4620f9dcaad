package org.vanillatrestle.daemon.internal.declared;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.vanillatrestle.VmId;
import org.vanillatrestle.daemon.internal.fleet.ControlFleet;
import org.vanillatrestle.daemon.internal.fleet.FleetLinks;
import org.vanillatrestle.internal.declaration.DeclarationCommand;
import org.vanillatrestle.internal.declaration.DeclaredState;
import org.vanillatrestle.internal.log.LogStatus;
import org.vanillatrestle.internal.log.ReplicaId;
import org.vanillatrestle.internal.log.Role;
import org.vanillatrestle.internal.log.VmLocation;
import org.vanillatrestle.wire.DeclarationCodec;
import org.vanillatrestle.wire.MalformedMessageException;

/**
 * Changes and reads the declared state on any control VM. Executes a call locally if this
 * VM leads, and otherwise forwards it to the leader.
 * <p>
 * Thread safe; calls to the leader are started on the VM's event loop.
 */
public final class DeclarationCalls implements ControlFleet.ReplicaPort {

	/**
	 * Timeout of a call to the leader; less than the one second after which an operator
	 * asks another VM.
	 */
	private static final int CALL_TIMEOUT_MILLIS = 900;

	/**
	 * Timeout of a call to the leader for an evacuation order, which may have been held
	 * back before.
	 */
	private static final int EVACUATION_CALL_TIMEOUT_MILLIS = 700;

	private final VmId self;

	private final DeclaredReplica replica;

	private final Supplier<FleetLinks> links;

	/**
	 * Creates the calls.
	 * @param self this VM
	 * @param replica this VM's replica
	 * @param links supplies the links to other VMs
	 */
	public DeclarationCalls(VmId self, DeclaredReplica replica, Supplier<FleetLinks> links) {
		this.self = self;
		this.replica = replica;
		this.links = links;
	}

	/**
	 * Proposes a change.
	 * @param command the change
	 * @return the state after the change; empty if it was not accepted or its outcome is
	 * unknown
	 */
	public CompletableFuture<Optional<DeclaredState>> propose(DeclarationCommand command) {
		return executeOrForward(Optional.of(command));
	}

	/**
	 * Reads the latest acknowledged state.
	 * @return the state; empty if this VM can't currently confirm that it is the latest
	 */
	public CompletableFuture<Optional<DeclaredState>> read() {
		return executeOrForward(Optional.empty());
	}

	private CompletableFuture<Optional<DeclaredState>> executeOrForward(Optional<DeclarationCommand> command) {
		LogStatus status = this.replica.status();
		if (status.role() == Role.LEADER) {
			return executeLocally(command);
		}
		Optional<VmId> leader = status.leader().map(ReplicaId::vm).filter((vm) -> !vm.equals(this.self));
		if (leader.isEmpty()) {
			return CompletableFuture.completedFuture(Optional.empty());
		}
		boolean isEvacuation = command.filter(DeclarationCommand.Evacuate.class::isInstance).isPresent();
		return this.links.get()
			.call(leader.get(), DeclarationCodec.encodeCall(command),
					isEvacuation ? EVACUATION_CALL_TIMEOUT_MILLIS : CALL_TIMEOUT_MILLIS)
			.handle((reply, failure) -> (failure != null) ? Optional.empty() : decodeReplyOrEmpty(reply));
	}

	private CompletableFuture<Optional<DeclaredState>> executeLocally(Optional<DeclarationCommand> command) {
		return command.map(this.replica::propose).orElseGet(this.replica::read);
	}

	private static Optional<DeclaredState> decodeReplyOrEmpty(byte[] reply) {
		try {
			return DeclarationCodec.decodeReply(reply);
		}
		catch (MalformedMessageException ex) {
			return Optional.empty();
		}
	}

	@Override
	public CompletableFuture<byte[]> call(byte[] payload) {
		try {
			return executeLocally(DeclarationCodec.decodeCall(payload)).thenApply(DeclarationCodec::encodeReply);
		}
		catch (MalformedMessageException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	@Override
	public void setControlVms(Map<VmId, VmLocation> vms) {
		this.replica.setControlVms(vms);
	}

	@Override
	public void receive(VmId from, byte[] message) {
		this.replica.receive(from, message);
	}

}
