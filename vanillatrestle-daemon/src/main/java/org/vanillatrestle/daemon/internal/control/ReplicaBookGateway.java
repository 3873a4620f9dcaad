package org.vanillatrestle.daemon.internal.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import org.vanillatrestle.VmId;
import org.vanillatrestle.daemon.internal.operator.BookGateway;
import org.vanillatrestle.daemon.internal.operator.BookReadResult;
import org.vanillatrestle.daemon.internal.operator.ProposalResult;
import org.vanillatrestle.daemon.internal.replica.ProposalOutcome;
import org.vanillatrestle.daemon.internal.replica.ReplicaHost;
import org.vanillatrestle.internal.book.ContractBook;
import org.vanillatrestle.internal.log.LogStatus;

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

	private final ReplicatedContractBook machine;

	private final int minVoters;

	private final Function<VmId, Optional<String>> addresses;

	/**
	 * Creates the gateway.
	 * @param replica the replica
	 * @param machine its state machine
	 * @param minVoters the number of voters below which no change is accepted
	 * @param addresses looks up the HTTP address of a VM
	 */
	ReplicaBookGateway(ReplicaHost replica, ReplicatedContractBook machine, int minVoters,
			Function<VmId, Optional<String>> addresses) {
		this.replica = replica;
		this.machine = machine;
		this.minVoters = minVoters;
		this.addresses = addresses;
	}

	@Override
	public CompletableFuture<ProposalResult> propose(byte[] command) {
		LogStatus status = this.replica.status();
		int voters = status.membership().voters().size();
		if (voters < this.minVoters) {
			return CompletableFuture.completedFuture(refuseForVoters(status, voters));
		}
		return this.replica.propose(command)
			.thenApply(this::toProposal)
			.completeOnTimeout(new ProposalResult.Unknown("no outcome after " + TIMEOUT_MILLIS + " ms"), TIMEOUT_MILLIS,
					TimeUnit.MILLISECONDS);
	}

	// A replica that has just joined may not know the voters that the leader knows.
	private ProposalResult refuseForVoters(LogStatus status, int voters) {
		Optional<String> otherLeader = status.leader()
			.filter((leader) -> !leader.equals(status.self()))
			.flatMap((leader) -> this.addresses.apply(leader.vm()));
		return otherLeader.isPresent() ? new ProposalResult.NotAccepted(otherLeader)
				: new ProposalResult.TooFewVoters(voters, this.minVoters);
	}

	private ProposalResult toProposal(ProposalOutcome outcome) {
		if (outcome instanceof ProposalOutcome.Committed committed) {
			return new ProposalResult.Applied(committed.reply());
		}
		if (outcome instanceof ProposalOutcome.Unknown unknown) {
			return new ProposalResult.Unknown(unknown.reason());
		}
		if (outcome instanceof ProposalOutcome.NotLeader notLeader) {
			return new ProposalResult.NotAccepted(notLeader.leader().flatMap(this.addresses));
		}
		return new ProposalResult.NotAccepted(Optional.empty());
	}

	@Override
	public <T> CompletableFuture<BookReadResult<T>> read(Function<ContractBook, T> reader) {
		return this.replica.read((outcome) -> new BookReadResult<>(reader.apply(this.machine.book()), outcome.latest(),
				outcome.appliedIndex(), this.replica.status().leaderlessNanos() / NANOS_PER_MILLI));
	}

}
