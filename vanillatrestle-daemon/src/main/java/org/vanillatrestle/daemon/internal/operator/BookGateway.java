package org.vanillatrestle.daemon.internal.operator;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import org.vanillatrestle.internal.book.ContractBook;

/**
 * The way to the replica of the contract book on this VM.
 * <p>
 * Implementations are thread safe. Their futures complete within a bounded time.
 */
public interface BookGateway {

	/**
	 * Proposes a command.
	 * @param command the encoded command
	 * @return what became of it; never fails
	 */
	CompletableFuture<BookProposal> propose(byte[] command);

	/**
	 * Reads the book on the thread that applies commands.
	 * @param <T> what is read
	 * @param reader reads the book; must copy what it returns
	 * @return what was read; fails if the replica is closed or overloaded
	 */
	<T> CompletableFuture<BookReading<T>> read(Function<ContractBook, T> reader);

}
