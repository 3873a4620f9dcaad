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
 * The way from this VM to the once ledger of a caller's home.
 * <p>
 * A key has one home data centre, whichever VM asks. Used on the VM's event loop; futures
 * complete there.
 */
public final class OnceClient {

	private static final int CALL_TIMEOUT_MILLIS = 4_000;

	private final EventLoop eventLoop;

	private final Settings settings;

	private final PeerService peers;

	private final OnceService local;

	private int nextVm;

	private int unsettledCount;

	/**
	 * Creates the client.
	 * @param eventLoop the VM's event loop
	 * @param settings the daemon's settings
	 * @param peers the links to other VMs
	 * @param local answers for this data centre
	 */
	public OnceClient(EventLoop eventLoop, Settings settings, PeerService peers, OnceService local) {
		this.eventLoop = eventLoop;
		this.settings = settings;
		this.peers = peers;
		this.local = local;
	}

	/**
	 * Counts attempts whose end the ledger has not heard yet.
	 * @param change 1 for one more, -1 for one less
	 */
	void countUnsettled(int change) {
		this.unsettledCount += change;
	}

	/**
	 * Returns the number of attempts whose end the ledger has not heard yet.
	 * @return the number
	 */
	public int unsettledCount() {
		return this.unsettledCount;
	}

	/**
	 * Finds the data centre whose ledger holds a key: the one that an issued key names,
	 * else one of the home region by the key's hash.
	 * @param caller the caller
	 * @param key the key
	 * @return the data centre, or empty if the home region has no ledger
	 */
	public Optional<DataCentreId> home(Caller caller, OnceKey key) {
		List<DataCentreId> candidates = this.settings.ledgerDataCentres(caller.home());
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
	 * Sends a command.
	 * @param home the ledger's data centre
	 * @param command the command
	 * @return the outcome; a failure leaves open whether the command takes effect
	 */
	CompletableFuture<LedgerOutcome> send(DataCentreId home, LedgerCommand command) {
		OnceRequest.Kind kind = (command instanceof LedgerCommand.Claim) ? OnceRequest.Kind.CLAIM_AND_WAIT
				: OnceRequest.Kind.COMMAND;
		return ask(home, new OnceRequest(kind, false, LedgerCommandCodec.encode(command)))
			.thenCompose((reply) -> decode(() -> LedgerCommandCodec.decodeOutcome(reply)));
	}

	/**
	 * Asks what is known of a key.
	 * @param home the ledger's data centre
	 * @param key the key
	 * @return what is known
	 */
	public CompletableFuture<KeyStatus> status(DataCentreId home, OnceKey key) {
		return ask(home, new OnceRequest(OnceRequest.Kind.STATUS, false, LedgerStateCodec.encode(key)))
			.thenCompose((reply) -> decode(() -> LedgerStateCodec.decodeStatus(reply)));
	}

	/**
	 * Asks for the prefix of keys now issued.
	 * @param home the ledger's data centre
	 * @return the prefix, empty while the ledger is not open
	 */
	public CompletableFuture<String> prefix(DataCentreId home) {
		return ask(home, new OnceRequest(OnceRequest.Kind.PREFIX, false, new byte[0]))
			.thenApply((reply) -> new String(reply, StandardCharsets.UTF_8));
	}

	private CompletableFuture<byte[]> ask(DataCentreId home, OnceRequest request) {
		if (home.equals(this.settings.self().dataCentre())) {
			return onLoop(this.local.ask(request));
		}
		this.peers.wantLinks(home);
		List<VmId> linked = candidates(home);
		if (linked.isEmpty()) {
			return CompletableFuture.failedFuture(new PeerException(PeerException.Reason.NOT_CONNECTED,
					"No VM of data centre " + home + " is linked."));
		}
		VmId vm = linked.get(Math.floorMod(this.nextVm++, linked.size()));
		return onLoop(this.peers.node().call(vm, PeerChannel.ONCE, request.encode(), CALL_TIMEOUT_MILLIS));
	}

	private List<VmId> candidates(DataCentreId home) {
		List<VmId> linked = this.peers.linkedIn(home);
		List<VmId> ledgers = new ArrayList<>(
				this.settings.ledgersOf(home).stream().map(VmSettings::vm).filter(linked::contains).toList());
		return ledgers.isEmpty() ? linked : ledgers;
	}

	private CompletableFuture<byte[]> onLoop(CompletableFuture<byte[]> future) {
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
	 * Reads a reply.
	 *
	 * @param <T> what is read
	 */
	@FunctionalInterface
	private interface Decoder<T> {

		T decode() throws MalformedStateException;

	}

}
