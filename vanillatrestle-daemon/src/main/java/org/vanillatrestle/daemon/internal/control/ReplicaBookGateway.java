package org.vanillatrestle.daemon.internal.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import org.vanillatrestle.VmId;
import org.vanillatrestle.daemon.internal.operator.BookGateway;
import org.vanillatrestle.daemon.internal.operator.BookProposal;
import org.vanillatrestle.daemon.internal.operator.BookReading;
import org.vanillatrestle.daemon.internal.replica.ProposalOutcome;
import org.vanillatrestle.daemon.internal.replica.ReplicaHost;
import org.vanillatrestle.internal.book.ContractBook;

/**
 * Gives operators access to this VM's replica of the contract book.
 * <p>
 * Thread safe. A proposal without an outcome within {@link #TIMEOUT_MILLIS} milliseconds
 * is reported as unknown, never as refused.
 */
final class ReplicaBookGateway implements BookGateway {

	private static final long TIMEOUT_MILLIS = 10_000;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final ReplicaHost replica;

	private final BookMachine machine;

	private final Function<VmId, Optional<String>> addresses;

	/**
	 * Creates the gateway.
	 * @param replica the replica
	 * @param machine its state machine
	 * @param addresses looks up the HTTP address of a VM
	 */
	ReplicaBookGateway(ReplicaHost replica, BookMachine machine, Function<VmId, Optional<String>> addresses) {
		this.replica = replica;
		this.machine = machine;
		this.addresses = addresses;
	}

	@Override
	public CompletableFuture<BookProposal> propose(byte[] command) {
		return this.replica.propose(command)
			.thenApply(this::toProposal)
			.completeOnTimeout(new BookProposal.Unknown("no outcome after " + TIMEOUT_MILLIS + " ms"), TIMEOUT_MILLIS,
					TimeUnit.MILLISECONDS);
	}

	private BookProposal toProposal(ProposalOutcome outcome) {
		if (outcome instanceof ProposalOutcome.Committed committed) {
			return new BookProposal.Applied(committed.reply());
		}
		if (outcome instanceof ProposalOutcome.Unknown unknown) {
			return new BookProposal.Unknown(unknown.reason());
		}
		if (outcome instanceof ProposalOutcome.NotLeader notLeader) {
			return new BookProposal.NotTaken(notLeader.leader().flatMap(this.addresses));
		}
		return new BookProposal.NotTaken(Optional.empty());
	}

	@Override
	public <T> CompletableFuture<BookReading<T>> read(Function<ContractBook, T> reader) {
		return this.replica.read((outcome) -> new BookReading<>(reader.apply(this.machine.book()), outcome.latest(),
				outcome.appliedIndex(), this.replica.status().leaderlessNanos() / NANOS_PER_MILLI));
	}

}
