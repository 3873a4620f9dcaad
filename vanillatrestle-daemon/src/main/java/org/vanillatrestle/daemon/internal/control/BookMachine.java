package org.vanillatrestle.daemon.internal.control;

import java.util.function.Consumer;

import org.jboss.logging.Logger;
import org.vanillatrestle.internal.book.BookLimits;
import org.vanillatrestle.internal.book.BookPage;
import org.vanillatrestle.internal.book.ContractBook;
import org.vanillatrestle.internal.log.StateMachine;
import org.vanillatrestle.wire.BookCommandCodec;
import org.vanillatrestle.wire.BookStateCodec;
import org.vanillatrestle.wire.MalformedStateException;

/**
 * The contract book as the state machine of a replicated log.
 * <p>
 * Used by the replica's thread alone. Each change is handed on as a page.
 */
final class BookMachine implements StateMachine {

	private static final Logger logger = Logger.getLogger(BookMachine.class);

	private final ContractBook book = new ContractBook(BookLimits.DEFAULT);

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
		return this.book;
	}

	@Override
	public byte[] apply(long index, byte[] command) {
		try {
			byte[] reply = BookCommandCodec.encode(this.book.apply(index, BookCommandCodec.decodeCommand(command)));
			tellChanges();
			return reply;
		}
		catch (MalformedStateException ex) {
			logger.errorf("Book: the command at index %d can't be read and changes nothing.", index);
			return new byte[0];
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
			tellChanges();
		}
		catch (MalformedStateException ex) {
			throw new IllegalStateException("The snapshot of the contract book can't be read.", ex);
		}
	}

	private void tellChanges() {
		if (this.book.changeIndex() > this.toldIndex) {
			BookPage page = this.book.entriesAfter(this.toldIndex, Integer.MAX_VALUE);
			this.toldIndex = this.book.changeIndex();
			this.changes.accept(page);
		}
	}

}
