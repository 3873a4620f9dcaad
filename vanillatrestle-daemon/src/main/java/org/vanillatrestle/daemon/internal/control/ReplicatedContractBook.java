package org.vanillatrestle.daemon.internal.control;

import java.util.function.Consumer;

import org.vanillatrestle.internal.book.BookLimits;
import org.vanillatrestle.internal.book.BookPage;
import org.vanillatrestle.internal.book.ContractBook;
import org.vanillatrestle.internal.log.StateMachine;
import org.vanillatrestle.wire.BookStateMachine;

/**
 * Applies the replicated log to the contract book and passes each change to a consumer as
 * a page.
 * <p>
 * Confined to the replica's thread.
 */
final class ReplicatedContractBook implements StateMachine {

	private final BookStateMachine machine = new BookStateMachine(new ContractBook(BookLimits.DEFAULT));

	private final Consumer<BookPage> changes;

	private long notifiedIndex;

	/**
	 * Creates an empty book.
	 * @param changes receives the changed entries, on the replica's thread
	 */
	ReplicatedContractBook(Consumer<BookPage> changes) {
		this.changes = changes;
	}

	ContractBook book() {
		return this.machine.book();
	}

	@Override
	public byte[] apply(long index, byte[] command) {
		byte[] reply = this.machine.apply(index, command);
		notifyChanges();
		return reply;
	}

	@Override
	public byte[] snapshot() {
		return this.machine.snapshot();
	}

	@Override
	public void restore(long index, byte[] snapshot) {
		this.machine.restore(index, snapshot);
		notifyChanges();
	}

	private void notifyChanges() {
		if (book().changeIndex() > this.notifiedIndex) {
			BookPage page = book().entriesAfter(this.notifiedIndex, Integer.MAX_VALUE);
			this.notifiedIndex = book().changeIndex();
			this.changes.accept(page);
		}
	}

}
