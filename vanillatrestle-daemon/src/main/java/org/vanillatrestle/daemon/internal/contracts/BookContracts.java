package org.vanillatrestle.daemon.internal.contracts;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.vanillatrestle.Contract;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.daemon.internal.peer.BookPort;
import org.vanillatrestle.daemon.internal.pipeline.ContractLookup;
import org.vanillatrestle.daemon.internal.pipeline.Principal;
import org.vanillatrestle.internal.book.BookFollower;
import org.vanillatrestle.internal.book.BookPage;
import org.vanillatrestle.internal.book.BookView;
import org.vanillatrestle.wire.BookStateCodec;
import org.vanillatrestle.wire.MalformedStateException;
import org.vanillatrestle.wire.PeerException;

/**
 * This VM's copy of the contract book.
 * <p>
 * Its index never falls. Used on the VM's event loop, but for {@link #view()}, which any
 * thread may call.
 */
public final class BookContracts implements ContractLookup, BookPort {

	private final BookFollower follower = new BookFollower();

	private final List<ContractListener> listeners = new ArrayList<>();

	private Runnable whenInForce = () -> {
	};

	/**
	 * Adds a listener.
	 * @param listener is told of contracts that come into force
	 */
	public void addListener(ContractListener listener) {
		this.listeners.add(listener);
	}

	/**
	 * Sets what is run after changes have come into force.
	 * @param action what to run
	 */
	public void whenInForce(Runnable action) {
		this.whenInForce = action;
	}

	/**
	 * Returns the contracts in force.
	 * @return the view
	 */
	public BookView view() {
		return this.follower.view();
	}

	@Override
	public boolean isLoaded() {
		return view().index() > 0;
	}

	@Override
	public long appliedIndex() {
		return view().index();
	}

	@Override
	public Optional<Principal> findByKey(String keySha256) {
		return view().lookup(keySha256).map((match) -> new Principal(match.contract(), match.caller()));
	}

	@Override
	public Optional<Contract> find(CustomerId customer) {
		return view().contract(customer);
	}

	@Override
	public long nextPullIndex() {
		return this.follower.nextPullIndex();
	}

	@Override
	public byte[] entriesAfter(long index, int maxBytes) {
		return BookStateCodec.encode(this.follower.entriesAfter(index, maxBytes));
	}

	@Override
	public boolean offer(byte[] entries) throws PeerException {
		try {
			return accept(BookStateCodec.decodePage(entries)) == BookFollower.PageResult.STAGED;
		}
		catch (MalformedStateException ex) {
			throw new PeerException(PeerException.Reason.PROTOCOL, "The entries can't be read: " + ex.getMessage());
		}
	}

	/**
	 * Takes in a page of changes.
	 * @param page the page
	 * @return what became of it
	 */
	public BookFollower.PageResult accept(BookPage page) {
		BookView before = view();
		BookFollower.PageResult intake = this.follower.accept(page);
		if (intake == BookFollower.PageResult.APPLIED) {
			tellChanges(before, view());
			this.whenInForce.run();
		}
		return intake;
	}

	private void tellChanges(BookView before, BookView after) {
		for (Contract contract : after.contracts()) {
			Optional<Contract> known = before.contract(contract.customer());
			if (known.isEmpty() || known.get().revision() != contract.revision()) {
				this.listeners.forEach((listener) -> listener.changed(contract));
			}
		}
		for (Contract contract : before.contracts()) {
			if (after.contract(contract.customer()).isEmpty()) {
				this.listeners.forEach((listener) -> listener.removed(contract.customer()));
			}
		}
	}

}
