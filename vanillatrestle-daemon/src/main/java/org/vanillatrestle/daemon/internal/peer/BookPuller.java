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
 * Keeps the VM's contract book up to date: pulls from a VM that is ahead, and gives to
 * VMs that are behind.
 * <p>
 * Not thread safe: used on the event loop. Invariant: at most one pull at a time. A VM
 * from which a pull failed is not asked again until it is heard from anew.
 */
final class BookPuller {

	private static final Logger logger = Logger.getLogger(BookPuller.class);

	private static final int TIMEOUT_MILLIS = 2_000;

	private static final int PAGE_BYTES = 256 * 1024;

	private final PeerNode node;

	private final BookPort book;

	private final UniformRandomProvider random;

	private final Map<VmId, Long> heard = new HashMap<>();

	private boolean pulling;

	BookPuller(PeerNode node, BookPort book, UniformRandomProvider random) {
		this.node = node;
		this.book = book;
		this.random = random;
	}

	/**
	 * Notes how far a VM is.
	 * @param vm the VM
	 * @param appliedIndex its index
	 */
	void heard(VmId vm, long appliedIndex) {
		this.heard.put(vm, appliedIndex);
		pull();
	}

	/**
	 * Tells VMs how far this VM is.
	 * @param vms the VMs
	 */
	void tell(Collection<VmId> vms) {
		byte[] index = ByteBuffer.allocate(Long.BYTES).putLong(this.book.appliedIndex()).array();
		vms.forEach((vm) -> this.node.send(vm, PeerChannel.BOOK, index));
	}

	/**
	 * Takes what another VM told of itself.
	 * @param sender the VM
	 * @param payload the index, as eight bytes
	 * @throws PeerException if the payload is no index
	 */
	void receiveIndex(PeerIdentity sender, byte[] payload) throws PeerException {
		if (payload.length != Long.BYTES) {
			throw new PeerException(PeerException.Reason.PROTOCOL, "An index of the contract book has eight bytes.");
		}
		heard(sender.vm(), ByteBuffer.wrap(payload).getLong());
	}

	void lost(VmId vm) {
		this.heard.remove(vm);
	}

	/**
	 * Pulls if a linked VM is ahead and no pull is on its way.
	 */
	void pull() {
		if (this.pulling) {
			return;
		}
		VmId source = choose();
		if (source != null) {
			pullFrom(source);
		}
	}

	CompletableFuture<byte[]> answer(PeerIdentity sender, byte[] payload) throws PeerException {
		try {
			BookPull pull = BookPull.parseFrom(payload);
			int maxBytes = Math.min(Math.max(pull.getMaxBytes(), 0), PAGE_BYTES);
			return CompletableFuture.completedFuture(this.book.entriesAfter(pull.getAfterIndex(), maxBytes));
		}
		catch (InvalidProtocolBufferException ex) {
			throw new PeerException(PeerException.Reason.PROTOCOL, "The pull can't be read: " + ex.getMessage());
		}
	}

	private VmId choose() {
		long own = this.book.appliedIndex();
		List<VmId> ahead = new ArrayList<>();
		this.heard.forEach((vm, index) -> {
			if (index > own && this.node.isConnected(vm)) {
				ahead.add(vm);
			}
		});
		return (ahead.isEmpty()) ? null : ahead.get(this.random.nextInt(ahead.size()));
	}

	private void pullFrom(VmId source) {
		this.pulling = true;
		BookPull pull = BookPull.newBuilder().setAfterIndex(this.book.nextPullIndex()).setMaxBytes(PAGE_BYTES).build();
		this.node.call(source, PeerChannel.BOOK, pull.toByteArray(), TIMEOUT_MILLIS)
			.whenComplete((entries, failure) -> pulled(source, entries, failure));
	}

	private void pulled(VmId source, byte[] entries, Throwable failure) {
		this.pulling = false;
		if (failure != null) {
			logger.debugf("Book: %s gave no entries. %s", source, failure.getMessage());
			this.heard.remove(source);
			return;
		}
		if (offer(source, entries)) {
			pullFrom(source);
			return;
		}
		logger.debugf("Book: pulled from %s, now at index %d", source, this.book.appliedIndex());
	}

	private boolean offer(VmId source, byte[] entries) {
		long cursor = this.book.nextPullIndex();
		try {
			boolean more = this.book.offer(entries);
			return more && this.book.nextPullIndex() > cursor;
		}
		catch (PeerException ex) {
			logger.warnf("Book: %s gave entries that can't be read. %s", source, ex.getMessage());
			this.heard.remove(source);
			return false;
		}
	}

}
