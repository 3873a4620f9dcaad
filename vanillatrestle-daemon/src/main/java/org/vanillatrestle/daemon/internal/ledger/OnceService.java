package org.vanillatrestle.daemon.internal.ledger;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;

import org.vanillatrestle.OnceKey;
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
 * Handles requests to this data centre's once ledger. If this VM's replica is the leader,
 * it executes the request. Otherwise the request is forwarded once: to the leader, or, if
 * this VM has no replica, to a connected VM that has one.
 * <p>
 * Used on the VM's event loop. The returned futures may complete on the replica's thread.
 */
public final class OnceService {

	private static final int RELAY_TIMEOUT_MILLIS = 3_000;

	private static final long CLAIM_WAIT_MILLIS = 1_000;

	private final Settings settings;

	private final Optional<LedgerPart> ledger;

	private final Supplier<PeerService> peers;

	/**
	 * Creates the service.
	 * @param settings the daemon's settings
	 * @param ledger this VM's replica, or empty if it has none
	 * @param peers supplies the links to other VMs
	 */
	public OnceService(Settings settings, Optional<LedgerPart> ledger, Supplier<PeerService> peers) {
		this.settings = settings;
		this.ledger = ledger;
		this.peers = peers;
	}

	/**
	 * Handles a request of another VM.
	 * @param sender the VM that sent the request
	 * @param payload the encoded request
	 * @return the encoded reply
	 * @throws PeerException if the request can't be decoded
	 */
	public CompletableFuture<byte[]> answer(PeerIdentity sender, byte[] payload) throws PeerException {
		return execute(OnceRequest.decode(payload));
	}

	/**
	 * Executes a request, or forwards it if this VM's replica is not the leader.
	 * @param request the request
	 * @return the encoded reply; the future may fail with a {@link PeerException}
	 */
	CompletableFuture<byte[]> execute(OnceRequest request) {
		if (this.ledger.isPresent() && isLeader(this.ledger.get())) {
			return executeLocally(this.ledger.get(), request);
		}
		if (request.relayed()) {
			return failed("the replica of this VM is not the leader");
		}
		Optional<VmId> relayVm = relayVm();
		if (relayVm.isEmpty()) {
			return failed("the leader is unknown");
		}
		return this.peers.get()
			.node()
			.call(relayVm.get(), PeerChannel.ONCE, request.asRelayed().encode(), RELAY_TIMEOUT_MILLIS);
	}

	private static boolean isLeader(LedgerPart part) {
		return part.replica().status().role() == Role.LEADER;
	}

	private Optional<VmId> relayVm() {
		if (this.ledger.isPresent()) {
			return this.ledger.get().replica().status().leader().map(ReplicaId::vm);
		}
		return this.settings.ledgerReplicas(this.settings.self().dataCentre())
			.stream()
			.map(VmSettings::id)
			.filter((vm) -> this.peers.get().node().isConnected(vm))
			.findFirst();
	}

	private CompletableFuture<byte[]> executeLocally(LedgerPart part, OnceRequest request) {
		return switch (request.kind()) {
			case COMMAND -> propose(part, request.payload());
			case CLAIM_AND_WAIT -> claimAndWait(part, request.payload());
			case STATUS -> status(part, request.payload());
			case PREFIX ->
				CompletableFuture.completedFuture(part.issuedPrefix().orElse("").getBytes(StandardCharsets.UTF_8));
		};
	}

	private CompletableFuture<byte[]> propose(LedgerPart part, byte[] command) {
		return part.replica().propose(command).thenCompose(OnceService::replyFrom);
	}

	private static CompletableFuture<byte[]> replyFrom(ProposalOutcome outcome) {
		if (outcome instanceof ProposalOutcome.Committed committed) {
			return CompletableFuture.completedFuture(committed.reply());
		}
		return failed("the ledger returned no outcome: " + outcome);
	}

	private CompletableFuture<byte[]> claimAndWait(LedgerPart part, byte[] command) {
		return part.replica()
			.propose(command, (outcome) -> handleClaimOutcome(part, command, outcome))
			.thenCompose(Function.identity());
	}

	/**
	 * Handles the outcome of a proposed claim. If another attempt is in progress, waits
	 * for it and then proposes the claim again. Runs on the replica's thread if the claim
	 * was committed, so that it may access the waiters.
	 * @param part the replica
	 * @param command the encoded claim
	 * @param outcome the outcome of the proposal
	 * @return the ledger's encoded reply
	 */
	private CompletableFuture<byte[]> handleClaimOutcome(LedgerPart part, byte[] command, ProposalOutcome outcome) {
		if (outcome instanceof ProposalOutcome.Committed committed && isInProgress(committed.reply())) {
			return waitUntilSettled(part, command).thenCompose((settled) -> propose(part, command));
		}
		return replyFrom(outcome);
	}

	private static boolean isInProgress(byte[] reply) {
		try {
			return LedgerCommandCodec.decodeOutcome(reply) instanceof LedgerOutcome.InProgress;
		}
		catch (MalformedStateException ex) {
			return false;
		}
	}

	private CompletableFuture<Void> waitUntilSettled(LedgerPart part, byte[] command) {
		CompletableFuture<Void> settled = new CompletableFuture<>();
		try {
			LedgerCommand.Claim claim = (LedgerCommand.Claim) LedgerCommandCodec.decodeCommand(command);
			OnceLedgerStateMachine machine = part.machine();
			Runnable waiter = () -> settled.complete(null);
			if (!machine.waiters().register(machine.ledger(), claim.key(), waiter)) {
				return CompletableFuture.runAsync(() -> {
				}, CompletableFuture.delayedExecutor(CLAIM_WAIT_MILLIS, TimeUnit.MILLISECONDS));
			}
			return settled.completeOnTimeout(null, CLAIM_WAIT_MILLIS, TimeUnit.MILLISECONDS);
		}
		catch (MalformedStateException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	private CompletableFuture<byte[]> status(LedgerPart part, byte[] key) {
		try {
			OnceKey onceKey = LedgerStateCodec.decodeKey(key);
			return part.replica()
				.read((outcome) -> outcome.latest() ? LedgerStateCodec.encode(part.machine().ledger().status(onceKey))
						: null)
				.thenCompose((status) -> (status != null) ? CompletableFuture.completedFuture(status)
						: failed("the ledger can't be read at present"));
		}
		catch (MalformedStateException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	private static CompletableFuture<byte[]> failed(String reason) {
		return CompletableFuture
			.failedFuture(new PeerException(PeerException.Reason.REFUSED, "Ledger: " + reason + "."));
	}

}
