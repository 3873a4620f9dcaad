package org.vanillatrestle.daemon.internal.ledger;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

import io.netty.channel.EventLoop;
import org.vanillatrestle.Caller;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.OnceKey;
import org.vanillatrestle.VmId;
import org.vanillatrestle.daemon.internal.peer.PeerService;
import org.vanillatrestle.daemon.internal.settings.Settings;
import org.vanillatrestle.daemon.internal.settings.VmSettings;
import org.vanillatrestle.internal.once.IssuedKeys;
import org.vanillatrestle.internal.once.KeyStatus;
import org.vanillatrestle.internal.once.LedgerCommand;
import org.vanillatrestle.internal.once.LedgerOutcome;
import org.vanillatrestle.wire.LedgerCommandCodec;
import org.vanillatrestle.wire.LedgerStateCodec;
import org.vanillatrestle.wire.MalformedStateException;
import org.vanillatrestle.wire.PeerChannel;
import org.vanillatrestle.wire.PeerException;

/**
 * Client that sends requests from this VM to the once ledger of a caller's home region.
 * <p>
 * The home data centre of a key is the same on every VM. Used on the VM's event loop, on
 * which the returned futures also complete.
 */
public final class OnceClient {

	private static final int CALL_TIMEOUT_MILLIS = 4_000;

	private final EventLoop eventLoop;

	private final Settings settings;

	private final PeerService peers;

	private final OnceService localService;

	private int nextVmIndex;

	private int unsettledCount;

	/**
	 * Creates the client.
	 * @param eventLoop the VM's event loop
	 * @param settings the daemon's settings
	 * @param peers the links to other VMs
	 * @param localService handles the requests to this data centre's ledger
	 */
	public OnceClient(EventLoop eventLoop, Settings settings, PeerService peers, OnceService localService) {
		this.eventLoop = eventLoop;
		this.settings = settings;
		this.peers = peers;
		this.localService = localService;
	}

	/**
	 * Changes the number of attempts whose end the ledger has not acknowledged yet.
	 * @param change 1 to add an attempt, -1 to remove one
	 */
	void addToUnsettledCount(int change) {
		this.unsettledCount += change;
	}

	/**
	 * Returns the number of attempts whose end the ledger has not acknowledged yet.
	 * @return the number of attempts
	 */
	public int unsettledCount() {
		return this.unsettledCount;
	}

	/**
	 * Returns the data centre whose ledger holds a key. For an issued key, this is the
	 * data centre named in the key; otherwise, it is selected from the data centres of
	 * the home region by the key's hash.
	 * @param caller the caller
	 * @param key the key
	 * @return the data centre, or empty if the home region has no ledger
	 */
	public Optional<DataCentreId> home(Caller caller, OnceKey key) {
		List<DataCentreId> candidates = this.settings.ledgerDataCentres(caller.homeRegion());
		for (DataCentreId candidate : candidates) {
			OptionalLong generation = new IssuedKeys(candidate).generation(key.key());
			if (generation.isPresent()) {
				return Optional.of(candidate);
			}
		}
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(candidates.get(Math.floorMod(key.toString().hashCode(), candidates.size())));
	}

	/**
	 * Sends a command to a ledger.
	 * @param home the ledger's data centre
	 * @param command the command
	 * @return the outcome; if the future fails, the command may or may not take effect
	 */
	CompletableFuture<LedgerOutcome> send(DataCentreId home, LedgerCommand command) {
		OnceRequest.Kind kind = (command instanceof LedgerCommand.Claim) ? OnceRequest.Kind.CLAIM_AND_WAIT
				: OnceRequest.Kind.COMMAND;
		return call(home, new OnceRequest(kind, false, LedgerCommandCodec.encode(command)))
			.thenCompose((reply) -> decode(() -> LedgerCommandCodec.decodeOutcome(reply)));
	}

	/**
	 * Requests what a ledger knows about a key.
	 * @param home the ledger's data centre
	 * @param key the key
	 * @return the key's status
	 */
	public CompletableFuture<KeyStatus> status(DataCentreId home, OnceKey key) {
		return call(home, new OnceRequest(OnceRequest.Kind.STATUS, false, LedgerStateCodec.encode(key)))
			.thenCompose((reply) -> decode(() -> LedgerStateCodec.decodeStatus(reply)));
	}

	/**
	 * Requests the prefix of the keys that a ledger currently issues.
	 * @param home the ledger's data centre
	 * @return the prefix, or an empty string while the ledger is not open
	 */
	public CompletableFuture<String> prefix(DataCentreId home) {
		return call(home, new OnceRequest(OnceRequest.Kind.PREFIX, false, new byte[0]))
			.thenApply((reply) -> new String(reply, StandardCharsets.UTF_8));
	}

	private CompletableFuture<byte[]> call(DataCentreId home, OnceRequest request) {
		if (home.equals(this.settings.self().dataCentre())) {
			return completeOnEventLoop(this.localService.execute(request));
		}
		this.peers.requestLinks(home);
		List<VmId> candidates = connectedVms(home);
		if (candidates.isEmpty()) {
			return CompletableFuture.failedFuture(new PeerException(PeerException.Reason.NOT_CONNECTED,
					"No VM of data centre " + home + " is connected."));
		}
		VmId vm = candidates.get(Math.floorMod(this.nextVmIndex++, candidates.size()));
		return completeOnEventLoop(this.peers.node().call(vm, PeerChannel.ONCE, request.encode(), CALL_TIMEOUT_MILLIS));
	}

	private List<VmId> connectedVms(DataCentreId home) {
		List<VmId> connected = this.peers.linkedVms(home);
		List<VmId> ledgers = new ArrayList<>(
				this.settings.ledgerReplicas(home).stream().map(VmSettings::id).filter(connected::contains).toList());
		return ledgers.isEmpty() ? connected : ledgers;
	}

	private CompletableFuture<byte[]> completeOnEventLoop(CompletableFuture<byte[]> future) {
		return future.whenCompleteAsync((reply, failure) -> {
		}, this.eventLoop);
	}

	private static <T> CompletableFuture<T> decode(Decoder<T> decoder) {
		try {
			return CompletableFuture.completedFuture(decoder.decode());
		}
		catch (MalformedStateException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	/**
	 * Decodes a reply.
	 *
	 * @param <T> the type of the decoded reply
	 */
	@FunctionalInterface
	private interface Decoder<T> {

		T decode() throws MalformedStateException;

	}

}
