package org.vanillatrestle.daemon.internal.operator;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import org.vanillatrestle.internal.book.ContractBook;

/**
 * Gives access to the replica of the contract book on this VM.
 * <p>
 * Implementations are thread safe. Their futures complete within a bounded time.
 */
public interface BookGateway {

	/**
	 * Proposes a command.
	 * @param command the encoded command
	 * @return the result of the proposal; the future never completes exceptionally
	 */
	CompletableFuture<ProposalResult> propose(byte[] command);

	/**
	 * Reads the book on the thread that applies commands.
	 * @param <T> the type of the result
	 * @param reader reads the book; must return copies, not live data of the book
	 * @return the result; the future fails if the replica is closed or overloaded
	 */
	<T> CompletableFuture<BookReadResult<T>> read(Function<ContractBook, T> reader);

}
