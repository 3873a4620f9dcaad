package org.vanillatrestle.daemon.internal.control;

import java.util.function.Consumer;

import org.vanillatrestle.internal.book.BookLimits;
import org.vanillatrestle.internal.book.BookPage;
import org.vanillatrestle.internal.book.ContractBook;
import org.vanillatrestle.internal.log.StateMachine;
import org.vanillatrestle.wire.BookStateMachine;

/**
 * The contract book of a replica, which hands each change on as a page.
 * <p>
 * Used by the replica's thread alone.
 */
final class BookMachine implements StateMachine {

	private final BookStateMachine machine = new BookStateMachine(new ContractBook(BookLimits.DEFAULT));

	private final Consumer<BookPage> changes;

	private long toldIndex;

	/**
	 * Creates an empty book.
	 * @param changes takes what has changed, on the replica's thread
	 */
	BookMachine(Consumer<BookPage> changes) {
		this.changes = changes;
	}

	ContractBook book() {
		return this.machine.book();
	}

	@Override
	public byte[] apply(long index, byte[] command) {
		byte[] reply = this.machine.apply(index, command);
		tellChanges();
		return reply;
	}

	@Override
	public byte[] snapshot() {
		return this.machine.snapshot();
	}

	@Override
	public void restore(long index, byte[] snapshot) {
		this.machine.restore(index, snapshot);
		tellChanges();
	}

	private void tellChanges() {
		if (book().changeIndex() > this.toldIndex) {
			BookPage page = book().entriesAfter(this.toldIndex, Integer.MAX_VALUE);
			this.toldIndex = book().changeIndex();
			this.changes.accept(page);
		}
	}

}
