package org.vanillatrestle.daemon.internal.ledger;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.vanillatrestle.VmId;
import org.vanillatrestle.daemon.internal.peer.PeerService;
import org.vanillatrestle.daemon.internal.replica.ProposalOutcome;
import org.vanillatrestle.daemon.internal.settings.Settings;
import org.vanillatrestle.daemon.internal.settings.VmSettings;
import org.vanillatrestle.internal.log.ReplicaId;
import org.vanillatrestle.internal.log.Role;
import org.vanillatrestle.internal.once.LedgerCommand;
import org.vanillatrestle.internal.once.LedgerOutcome;
import org.vanillatrestle.wire.LedgerCommandCodec;
import org.vanillatrestle.wire.LedgerStateCodec;
import org.vanillatrestle.wire.MalformedStateException;
import org.vanillatrestle.wire.PeerChannel;
import org.vanillatrestle.wire.PeerException;
import org.vanillatrestle.wire.PeerIdentity;

/**
 * Answers questions to this data centre's once ledger: by the replica of this VM if it
 * leads, else by passing the question on to the leader, once.
 * <p>
 * Used on the VM's event loop; futures may complete on the replica's thread.
 */
public final class OnceService {

	private static final int RELAY_TIMEOUT_MILLIS = 3_000;

	private static final long WAIT_MILLIS = 1_000;

	private final Settings settings;

	private final Optional<LedgerPart> ledger;

	private final Supplier<PeerService> peers;

	/**
	 * Creates the service.
	 * @param settings the daemon's settings
	 * @param ledger this VM's replica, if it has one
	 * @param peers the links to other VMs
	 */
	public OnceService(Settings settings, Optional<LedgerPart> ledger, Supplier<PeerService> peers) {
		this.settings = settings;
		this.ledger = ledger;
		this.peers = peers;
	}

	/**
	 * Answers a question of another VM.
	 * @param sender the VM
	 * @param payload the question
	 * @return the answer
	 * @throws PeerException if the question can't be read
	 */
	public CompletableFuture<byte[]> answer(PeerIdentity sender, byte[] payload) throws PeerException {
		return ask(OnceRequest.decode(payload));
	}

	/**
	 * Answers a question.
	 * @param request the question
	 * @return the answer, or a {@link PeerException}
	 */
	CompletableFuture<byte[]> ask(OnceRequest request) {
		if (this.ledger.isPresent() && isLeader(this.ledger.get())) {
			return askReplica(this.ledger.get(), request);
		}
		if (request.relayed()) {
			return failed("the replica of this VM does not lead");
		}
		Optional<VmId> leader = leader();
		if (leader.isEmpty()) {
			return failed("the leader is not known");
		}
		return this.peers.get()
			.node()
			.call(leader.get(), PeerChannel.ONCE, request.asRelayed().encode(), RELAY_TIMEOUT_MILLIS);
	}

	private static boolean isLeader(LedgerPart part) {
		return part.replica().status().role() == Role.LEADER;
	}

	private Optional<VmId> leader() {
		if (this.ledger.isPresent()) {
			return this.ledger.get().replica().status().leader().map(ReplicaId::vm);
		}
		return this.settings.ledgersOf(this.settings.self().dataCentre())
			.stream()
			.map(VmSettings::vm)
			.filter((vm) -> this.peers.get().node().isConnected(vm))
			.findFirst();
	}

	private CompletableFuture<byte[]> askReplica(LedgerPart part, OnceRequest request) {
		return switch (request.kind()) {
			case COMMAND -> propose(part, request.payload());
			case CLAIM_AND_WAIT -> claimAndWait(part, request.payload());
			case STATUS -> status(part, request.payload());
			case PREFIX ->
				CompletableFuture.completedFuture(part.issuedPrefix().orElse("").getBytes(StandardCharsets.UTF_8));
		};
	}

	private CompletableFuture<byte[]> propose(LedgerPart part, byte[] command) {
		return part.replica().propose(command).thenCompose((outcome) -> {
			if (outcome instanceof ProposalOutcome.Committed committed) {
				return CompletableFuture.completedFuture(committed.reply());
			}
			return failed("the ledger gave no outcome: " + outcome);
		});
	}

	private CompletableFuture<byte[]> claimAndWait(LedgerPart part, byte[] command) {
		return propose(part, command).thenCompose((reply) -> {
			if (!isInProgress(reply)) {
				return CompletableFuture.completedFuture(reply);
			}
			return awaitSettled(part, command).thenCompose((settled) -> propose(part, command));
		});
	}

	private static boolean isInProgress(byte[] reply) {
		try {
			return LedgerCommandCodec.decodeOutcome(reply) instanceof LedgerOutcome.InProgress;
		}
		catch (MalformedStateException ex) {
			return false;
		}
	}

	private CompletableFuture<Void> awaitSettled(LedgerPart part, byte[] command) {
		CompletableFuture<Void> settled = new CompletableFuture<>();
		try {
			LedgerCommand.Claim claim = (LedgerCommand.Claim) LedgerCommandCodec.decodeCommand(command);
			LedgerMachine machine = part.machine();
			Runnable waiter = () -> settled.complete(null);
			if (!machine.waiters().await(machine.ledger(), claim.key(), waiter)) {
				return CompletableFuture.runAsync(() -> {
				}, CompletableFuture.delayedExecutor(WAIT_MILLIS, TimeUnit.MILLISECONDS));
			}
			return settled.completeOnTimeout(null, WAIT_MILLIS, TimeUnit.MILLISECONDS);
		}
		catch (MalformedStateException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	private CompletableFuture<byte[]> status(LedgerPart part, byte[] key) {
		return part.replica().confirmRead().thenCompose((outcome) -> {
			if (!outcome.latest()) {
				return failed("the ledger can't be read now");
			}
			try {
				return CompletableFuture.completedFuture(
						LedgerStateCodec.encode(part.machine().ledger().status(LedgerStateCodec.decodeKey(key))));
			}
			catch (MalformedStateException ex) {
				return CompletableFuture.failedFuture(ex);
			}
		});
	}

	private static CompletableFuture<byte[]> failed(String reason) {
		return CompletableFuture
			.failedFuture(new PeerException(PeerException.Reason.REFUSED, "Ledger: " + reason + "."));
	}

}
