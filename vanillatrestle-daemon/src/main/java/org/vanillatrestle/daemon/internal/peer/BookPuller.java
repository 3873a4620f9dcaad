package org.vanillatrestle.daemon.internal.peer;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.google.protobuf.InvalidProtocolBufferException;
import org.apache.commons.rng.UniformRandomProvider;
import org.jboss.logging.Logger;
import org.vanillatrestle.VmId;
import org.vanillatrestle.wire.PeerChannel;
import org.vanillatrestle.wire.PeerException;
import org.vanillatrestle.wire.PeerIdentity;
import org.vanillatrestle.wire.PeerNode;
import org.vanillatrestle.wire.generated.membership.BookPull;

/**
 * Synchronises the VM's contract book with its peers: pulls entries from a VM that is
 * ahead and answers the pulls of VMs that are behind.
 * <p>
 * Not thread safe: used on the event loop. Invariant: at most one pull is in flight. A VM
 * from which a pull failed is not asked again until it reports its index again.
 */
final class BookPuller {

	private static final Logger logger = Logger.getLogger(BookPuller.class);

	private static final int PULL_TIMEOUT_MILLIS = 2_000;

	private static final int MAX_PULL_BYTES = 256 * 1024;

	private final PeerNode node;

	private final BookPort book;

	private final UniformRandomProvider random;

	private final Map<VmId, Long> appliedIndexes = new HashMap<>();

	private boolean pullInFlight;

	BookPuller(PeerNode node, BookPort book, UniformRandomProvider random) {
		this.node = node;
		this.book = book;
		this.random = random;
	}

	/**
	 * Records the applied index that a VM reported, and starts a pull if one is due.
	 * @param vm the VM
	 * @param appliedIndex the index of the last entry that the VM has applied
	 */
	void updateIndex(VmId vm, long appliedIndex) {
		this.appliedIndexes.put(vm, appliedIndex);
		pull();
	}

	/**
	 * Sends this VM's applied index to other VMs.
	 * @param vms the receivers
	 */
	void sendIndex(Collection<VmId> vms) {
		byte[] index = ByteBuffer.allocate(Long.BYTES).putLong(this.book.appliedIndex()).array();
		vms.forEach((vm) -> this.node.send(vm, PeerChannel.BOOK, index));
	}

	/**
	 * Receives the applied index of another VM.
	 * @param sender the VM that sent the index
	 * @param payload the index as a big-endian integer of eight bytes
	 * @throws PeerException if the payload is not eight bytes long
	 */
	void receiveIndex(PeerIdentity sender, byte[] payload) throws PeerException {
		if (payload.length != Long.BYTES) {
			throw new PeerException(PeerException.Reason.PROTOCOL, "The contract book index must be eight bytes long.");
		}
		updateIndex(sender.vm(), ByteBuffer.wrap(payload).getLong());
	}

	void removeVm(VmId vm) {
		this.appliedIndexes.remove(vm);
	}

	/**
	 * Starts a pull if a connected VM is ahead and no pull is in flight.
	 */
	void pull() {
		if (this.pullInFlight) {
			return;
		}
		VmId source = chooseSource();
		if (source != null) {
			pullFrom(source);
		}
	}

	CompletableFuture<byte[]> answer(PeerIdentity sender, byte[] payload) throws PeerException {
		try {
			BookPull pull = BookPull.parseFrom(payload);
			int maxBytes = Math.min(Math.max(pull.getMaxBytes(), 0), MAX_PULL_BYTES);
			return CompletableFuture.completedFuture(this.book.entriesAfter(pull.getAfterIndex(), maxBytes));
		}
		catch (InvalidProtocolBufferException ex) {
			throw new PeerException(PeerException.Reason.PROTOCOL,
					"The contract book pull can't be decoded: " + ex.getMessage());
		}
	}

	private VmId chooseSource() {
		long ownIndex = this.book.appliedIndex();
		List<VmId> ahead = new ArrayList<>();
		this.appliedIndexes.forEach((vm, index) -> {
			if (index > ownIndex && this.node.isConnected(vm)) {
				ahead.add(vm);
			}
		});
		return (ahead.isEmpty()) ? null : ahead.get(this.random.nextInt(ahead.size()));
	}

	private void pullFrom(VmId source) {
		this.pullInFlight = true;
		BookPull pull = BookPull.newBuilder()
			.setAfterIndex(this.book.nextPullIndex())
			.setMaxBytes(MAX_PULL_BYTES)
			.build();
		this.node.call(source, PeerChannel.BOOK, pull.toByteArray(), PULL_TIMEOUT_MILLIS)
			.whenComplete((entries, failure) -> onPulled(source, entries, failure));
	}

	private void onPulled(VmId source, byte[] entries, Throwable failure) {
		this.pullInFlight = false;
		if (failure != null) {
			logger.debugf("Book: pull from %s failed. %s", source, failure.getMessage());
			this.appliedIndexes.remove(source);
			return;
		}
		if (offerEntries(source, entries)) {
			pullFrom(source);
			return;
		}
		logger.debugf("Book: pulled entries from %s, applied index is now %d", source, this.book.appliedIndex());
	}

	private boolean offerEntries(VmId source, byte[] entries) {
		long indexBefore = this.book.nextPullIndex();
		try {
			boolean more = this.book.offer(entries);
			return more && this.book.nextPullIndex() > indexBefore;
		}
		catch (PeerException ex) {
			logger.warnf("Book: entries from %s can't be decoded. %s", source, ex.getMessage());
			this.appliedIndexes.remove(source);
			return false;
		}
	}

}
