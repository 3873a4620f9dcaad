package org.vanillatrestle.wire;

import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnsafeByteOperations;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.log.EntryBody;
import org.vanillatrestle.internal.log.GroupId;
import org.vanillatrestle.internal.log.LogEntry;
import org.vanillatrestle.internal.log.Membership;
import org.vanillatrestle.internal.log.ReplicaId;
import org.vanillatrestle.internal.log.Snapshot;
import org.vanillatrestle.internal.log.StorageId;
import org.vanillatrestle.internal.log.Vote;
import org.vanillatrestle.wire.generated.log.EntryMessage;
import org.vanillatrestle.wire.generated.log.MembershipMessage;
import org.vanillatrestle.wire.generated.log.ReplicaIdMessage;
import org.vanillatrestle.wire.generated.log.SnapshotMessage;
import org.vanillatrestle.wire.generated.log.VoteMessage;

/**
 * Turns what a replica keeps on disk into bytes and back.
 * <p>
 * {@code decode(encode(x))} equals x. Stateless and thread safe.
 */
public final class LogRecordCodec {

	private LogRecordCodec() {
	}

	/**
	 * Encodes an entry.
	 * @param entry the entry
	 * @return its bytes
	 */
	public static byte[] encode(LogEntry entry) {
		return toMessage(entry).toByteArray();
	}

	/**
	 * Decodes an entry.
	 * @param bytes what {@link #encode(LogEntry)} gave
	 * @return the entry
	 * @throws MalformedMessageException if the bytes are no entry
	 */
	public static LogEntry decodeEntry(byte[] bytes) throws MalformedMessageException {
		try {
			return fromMessage(EntryMessage.parseFrom(bytes));
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			throw new MalformedMessageException("not an entry of a replicated log: " + ex.getMessage(), ex);
		}
	}

	/**
	 * Encodes a vote.
	 * @param vote the vote
	 * @return its bytes
	 */
	public static byte[] encode(Vote vote) {
		VoteMessage.Builder builder = VoteMessage.newBuilder().setTerm(vote.term());
		vote.votedFor().ifPresent((replica) -> builder.setVotedFor(toMessage(replica)));
		return builder.build().toByteArray();
	}

	/**
	 * Decodes a vote.
	 * @param bytes what {@link #encode(Vote)} gave
	 * @return the vote
	 * @throws MalformedMessageException if the bytes are no vote
	 */
	public static Vote decodeVote(byte[] bytes) throws MalformedMessageException {
		try {
			VoteMessage message = VoteMessage.parseFrom(bytes);
			Optional<ReplicaId> votedFor = (message.hasVotedFor()) ? Optional.of(fromMessage(message.getVotedFor()))
					: Optional.empty();
			return new Vote(message.getTerm(), votedFor);
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			throw new MalformedMessageException("not a vote of a replicated log: " + ex.getMessage(), ex);
		}
	}

	/**
	 * Encodes a snapshot.
	 * @param snapshot the snapshot
	 * @return its bytes
	 */
	public static byte[] encode(Snapshot snapshot) {
		return SnapshotMessage.newBuilder()
			.setLastIndex(snapshot.lastIndex())
			.setLastTerm(snapshot.lastTerm())
			.setMembership(toMessage(snapshot.membership()))
			.setState(UnsafeByteOperations.unsafeWrap(snapshot.state()))
			.build()
			.toByteArray();
	}

	/**
	 * Decodes a snapshot.
	 * @param bytes what {@link #encode(Snapshot)} gave
	 * @return the snapshot
	 * @throws MalformedMessageException if the bytes are no snapshot
	 */
	public static Snapshot decodeSnapshot(byte[] bytes) throws MalformedMessageException {
		try {
			SnapshotMessage message = SnapshotMessage.parseFrom(bytes);
			return new Snapshot(message.getLastIndex(), message.getLastTerm(), fromMessage(message.getMembership()),
					message.getState().toByteArray());
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			throw new MalformedMessageException("not a snapshot of a replicated log: " + ex.getMessage(), ex);
		}
	}

	static ReplicaIdMessage toMessage(ReplicaId replica) {
		return ReplicaIdMessage.newBuilder().setVm(replica.vm().value()).setStorage(replica.storage().value()).build();
	}

	static ReplicaId fromMessage(ReplicaIdMessage message) {
		return new ReplicaId(new VmId(message.getVm()), new StorageId(message.getStorage()));
	}

	static MembershipMessage toMessage(Membership membership) {
		MembershipMessage.Builder builder = MembershipMessage.newBuilder().setGroup(membership.group().value());
		membership.voters().forEach((voter) -> builder.addVoters(toMessage(voter)));
		membership.learners().forEach((learner) -> builder.addLearners(toMessage(learner)));
		return builder.build();
	}

	static Membership fromMessage(MembershipMessage message) {
		return new Membership(new GroupId(message.getGroup()), replicas(message.getVotersList()),
				replicas(message.getLearnersList()));
	}

	private static TreeSet<ReplicaId> replicas(List<ReplicaIdMessage> messages) {
		TreeSet<ReplicaId> replicas = new TreeSet<>();
		messages.forEach((message) -> replicas.add(fromMessage(message)));
		return replicas;
	}

	static EntryMessage toMessage(LogEntry entry) {
		EntryMessage.Builder builder = EntryMessage.newBuilder().setIndex(entry.index()).setTerm(entry.term());
		if (entry.body() instanceof EntryBody.Command command) {
			builder.setCommand(UnsafeByteOperations.unsafeWrap(command.bytes()));
		}
		else if (entry.body() instanceof EntryBody.MembershipChange change) {
			builder.setMembership(toMessage(change.membership()));
		}
		else {
			builder.setNoOp(true);
		}
		return builder.build();
	}

	static LogEntry fromMessage(EntryMessage message) {
		return new LogEntry(message.getIndex(), message.getTerm(), body(message));
	}

	private static EntryBody body(EntryMessage message) {
		return switch (message.getBodyCase()) {
			case NO_OP -> new EntryBody.NoOp();
			case COMMAND -> new EntryBody.Command(message.getCommand().toByteArray());
			case MEMBERSHIP -> new EntryBody.MembershipChange(fromMessage(message.getMembership()));
			case BODY_NOT_SET -> throw new IllegalArgumentException("the kind of the entry is not known");
		};
	}

}
