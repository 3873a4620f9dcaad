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
 * Its index never decreases. Used on the VM's event loop, except for {@link #view()},
 * which any thread may call.
 */
public final class BookContracts implements ContractLookup, BookPort {

	private final BookFollower follower = new BookFollower();

	private final List<ContractListener> listeners = new ArrayList<>();

	private Runnable appliedAction = () -> {
	};

	/**
	 * Adds a listener.
	 * @param listener notified of contracts that come into force or are removed
	 */
	public void addListener(ContractListener listener) {
		this.listeners.add(listener);
	}

	/**
	 * Sets the action to run after changes have come into force.
	 * @param action the action
	 */
	public void setAppliedAction(Runnable action) {
		this.appliedAction = action;
	}

	/**
	 * Returns the contracts in force.
	 * @return a view of the contracts
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
			throw new PeerException(PeerException.Reason.PROTOCOL,
					"Malformed contract book entries: " + ex.getMessage());
		}
	}

	/**
	 * Applies a page of changes to this copy of the contract book.
	 * @param page the page
	 * @return whether and how the page was accepted
	 */
	public BookFollower.PageResult accept(BookPage page) {
		BookView before = view();
		BookFollower.PageResult result = this.follower.accept(page);
		if (result == BookFollower.PageResult.APPLIED) {
			notifyListeners(before, view());
			this.appliedAction.run();
		}
		return result;
	}

	private void notifyListeners(BookView before, BookView after) {
		for (Contract contract : after.contracts()) {
			Optional<Contract> previous = before.contract(contract.customer());
			if (previous.isEmpty() || previous.get().revision() != contract.revision()) {
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
