package org.vanillatrestle.daemon.internal.operator;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Function;

import org.vanillatrestle.internal.book.BookLimits;
import org.vanillatrestle.internal.book.ContractBook;
import org.vanillatrestle.wire.BookCommandCodec;
import org.vanillatrestle.wire.MalformedStateException;

/**
 * An in-memory gateway that applies commands immediately and can simulate a missing
 * leader, lost replies and a closed replica.
 */
public final class FakeGateway implements BookGateway {

	private final ContractBook book = new ContractBook(BookLimits.DEFAULT);

	private boolean leaderless;

	private boolean losesReplies;

	private boolean closed;

	private long index;

	public void setLeaderless(boolean leaderless) {
		this.leaderless = leaderless;
	}

	public void setLosesReplies(boolean losesReplies) {
		this.losesReplies = losesReplies;
	}

	public void setClosed(boolean closed) {
		this.closed = closed;
	}

	@Override
	public synchronized CompletableFuture<ProposalResult> propose(byte[] command) {
		if (this.leaderless) {
			return CompletableFuture.completedFuture(new ProposalResult.NotAccepted(Optional.of("http://127.0.0.9:1")));
		}
		byte[] reply = apply(command);
		return CompletableFuture.completedFuture(this.losesReplies ? new ProposalResult.Unknown("the leader changed")
				: new ProposalResult.Applied(reply));
	}

	private byte[] apply(byte[] command) {
		try {
			return BookCommandCodec.encode(this.book.apply(++this.index, BookCommandCodec.decodeCommand(command)));
		}
		catch (MalformedStateException ex) {
			throw new IllegalStateException(ex);
		}
	}

	@Override
	public synchronized <T> CompletableFuture<BookReadResult<T>> read(Function<ContractBook, T> reader) {
		if (this.closed) {
			return CompletableFuture.failedFuture(new RejectedExecutionException("closed"));
		}
		return CompletableFuture.completedFuture(new BookReadResult<>(reader.apply(this.book), !this.leaderless,
				this.index, this.leaderless ? 5000 : 0));
	}

}
