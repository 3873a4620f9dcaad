package org.vanillatrestle.daemon.internal.declared;

import java.util.Optional;
import java.util.Set;
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
import org.vanillatrestle.wire.DeclarationCodec;
import org.vanillatrestle.wire.MalformedMessageException;

/**
 * Changes and reads of the declared state at any control VM: carried out here where this
 * VM leads, else by the leader.
 * <p>
 * Thread safe; calls to the leader are begun on the VM's event loop.
 */
public final class DeclarationCalls implements ControlFleet.ReplicaPort {

	/**
	 * Below the second after which an operator asks another VM.
	 */
	private static final int CALL_TIMEOUT_MILLIS = 900;

	private final VmId self;

	private final DeclaredReplica replica;

	private final Supplier<FleetLinks> links;

	/**
	 * Creates the calls.
	 * @param self this VM
	 * @param replica this VM's replica
	 * @param links the links to other VMs
	 */
	public DeclarationCalls(VmId self, DeclaredReplica replica, Supplier<FleetLinks> links) {
		this.self = self;
		this.replica = replica;
		this.links = links;
	}

	/**
	 * Proposes a change.
	 * @param command the change
	 * @return the state after it; empty if it was not taken or its outcome is not known
	 */
	public CompletableFuture<Optional<DeclaredState>> propose(DeclarationCommand command) {
		return carryOut(Optional.of(command));
	}

	/**
	 * Reads the latest state acknowledged.
	 * @return the state; empty if this VM can't be sure of it now
	 */
	public CompletableFuture<Optional<DeclaredState>> read() {
		return carryOut(Optional.empty());
	}

	private CompletableFuture<Optional<DeclaredState>> carryOut(Optional<DeclarationCommand> command) {
		LogStatus status = this.replica.status();
		if (status.role() == Role.LEADER) {
			return here(command);
		}
		Optional<VmId> leader = status.leader().map(ReplicaId::vm).filter((vm) -> !vm.equals(this.self));
		if (leader.isEmpty()) {
			return CompletableFuture.completedFuture(Optional.empty());
		}
		return this.links.get()
			.call(leader.get(), DeclarationCodec.encodeCall(command), CALL_TIMEOUT_MILLIS)
			.handle((reply, failure) -> (failure != null) ? Optional.empty() : readReply(reply));
	}

	private CompletableFuture<Optional<DeclaredState>> here(Optional<DeclarationCommand> command) {
		return command.map(this.replica::propose).orElseGet(this.replica::read);
	}

	private static Optional<DeclaredState> readReply(byte[] reply) {
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
			return here(DeclarationCodec.decodeCall(payload)).thenApply(DeclarationCodec::encodeReply);
		}
		catch (MalformedMessageException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	@Override
	public void setControlVms(Set<VmId> vms) {
		this.replica.setControlVms(vms);
	}

	@Override
	public void receive(VmId from, byte[] message) {
		this.replica.receive(from, message);
	}

}
