package org.vanillatrestle.wire;

import org.vanillatrestle.internal.book.BookOutcome;
import org.vanillatrestle.internal.book.ContractBook;
import org.vanillatrestle.internal.log.StateMachine;

/**
 * Lets the replicated log drive a contract book.
 * <p>
 * Not thread safe. A command that can't be read has no effect, on every replica alike.
 */
public final class BookStateMachine implements StateMachine {

	private static final BookOutcome UNREADABLE = new BookOutcome.Invalid("$", "the command can't be read");

	private final ContractBook book;

	/**
	 * Creates the adapter.
	 * @param book the book
	 */
	public BookStateMachine(ContractBook book) {
		this.book = book;
	}

	/**
	 * Returns the book, to be used by the thread that applies commands only.
	 * @return the book
	 */
	public ContractBook book() {
		return this.book;
	}

	@Override
	public byte[] apply(long index, byte[] command) {
		try {
			return BookCommandCodec.encode(this.book.apply(index, BookCommandCodec.decodeCommand(command)));
		}
		catch (MalformedStateException ex) {
			return BookCommandCodec.encode(UNREADABLE);
		}
	}

	@Override
	public byte[] snapshot() {
		return BookStateCodec.encode(this.book.snapshot());
	}

	@Override
	public void restore(long index, byte[] snapshot) {
		try {
			this.book.restore(BookStateCodec.decodeSnapshot(snapshot));
		}
		catch (MalformedStateException ex) {
			throw new IllegalStateException("The snapshot of the contract book can't be read.", ex);
		}
	}

}
