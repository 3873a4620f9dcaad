package org.vanillatrestle.wire;

import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.stream.Stream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.log.EntryBody;
import org.vanillatrestle.internal.log.GroupId;
import org.vanillatrestle.internal.log.LogEntry;
import org.vanillatrestle.internal.log.LogEnvelope;
import org.vanillatrestle.internal.log.LogMessage;
import org.vanillatrestle.internal.log.Membership;
import org.vanillatrestle.internal.log.ReplicaId;
import org.vanillatrestle.internal.log.Snapshot;
import org.vanillatrestle.internal.log.StorageId;
import org.vanillatrestle.internal.log.Vote;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class LogMessageCodecTests {

	private static final ReplicaId FIRST = new ReplicaId(new VmId("vm-1"), new StorageId("a"));

	private static final ReplicaId SECOND = new ReplicaId(new VmId("vm-2"), new StorageId("b"));

	private static final Membership MEMBERSHIP = new Membership(new GroupId("g"), new TreeSet<>(List.of(FIRST)),
			new TreeSet<>(List.of(SECOND)));

	@ParameterizedTest
	@MethodSource("messages")
	void shouldReadBackEveryMessage(LogMessage message) throws MalformedMessageException {
		LogEnvelope envelope = new LogEnvelope(new GroupId("g"), FIRST, SECOND, message);
		byte[] bytes = LogMessageCodec.encode(envelope);
		LogEnvelope decoded = LogMessageCodec.decode(bytes);
		assertThat(decoded).usingRecursiveComparison().isEqualTo(envelope);
	}

	@Test
	void shouldKnowEveryKindOfMessage() {
		assertThat(messages().map(Object::getClass).distinct())
			.hasSameSizeAs(LogMessage.class.getPermittedSubclasses());
	}

	static Stream<LogMessage> messages() {
		List<LogEntry> entries = List.of(new LogEntry(8, 2, new EntryBody.NoOp()),
				new LogEntry(9, 2, new EntryBody.Command(new byte[] { 1, 2 })),
				new LogEntry(10, 3, new EntryBody.MembershipChange(MEMBERSHIP)));
		return Stream.of(new LogMessage.AppendRequest(3, 7, 2, entries, 6, 5),
				new LogMessage.AppendResponse(3, true, 7, 0, 5), new LogMessage.AppendResponse(3, false, 4, 7, 5),
				new LogMessage.SnapshotChunk(3, 7, 2, MEMBERSHIP, 10, 8, new byte[] { 3, 4 }, 5),
				new LogMessage.SnapshotChunkResponse(3, 7, 8, 5), new LogMessage.VoteRequest(3, 7, 2, true, false),
				new LogMessage.VoteResponse(3, true, false, true), new LogMessage.HandoverRequest(3),
				new LogMessage.JoinRequest(0));
	}

	@Test
	void shouldReadBackVoteAndSnapshot() throws MalformedMessageException {
		Vote vote = new Vote(4, Optional.of(SECOND));
		assertThat(LogRecordCodec.decodeVote(LogRecordCodec.encode(vote))).isEqualTo(vote);
		assertThat(LogRecordCodec.decodeVote(LogRecordCodec.encode(Vote.INITIAL))).isEqualTo(Vote.INITIAL);
		Snapshot snapshot = new Snapshot(5, 4, MEMBERSHIP, new byte[] { 9 });
		assertThat(LogRecordCodec.decodeSnapshot(LogRecordCodec.encode(snapshot))).usingRecursiveComparison()
			.isEqualTo(snapshot);
	}

	@Test
	void shouldRefusePartOutsideItsSnapshot() {
		LogMessage chunk = new LogMessage.SnapshotChunk(3, 7, 2, MEMBERSHIP, 9, 8, new byte[2], 5);
		byte[] bytes = LogMessageCodec.encode(new LogEnvelope(new GroupId("g"), FIRST, SECOND, chunk));
		assertThatExceptionOfType(MalformedMessageException.class).isThrownBy(() -> LogMessageCodec.decode(bytes))
			.withMessageContaining("outside");
	}

	@Property(seed = "20261206", tries = 2000)
	void shouldRefuseDamagedBytesWithTypedError(@ForAll int position, @ForAll byte value) {
		LogMessage message = messages().skip(Math.floorMod(position, 9)).findFirst().orElseThrow();
		byte[] bytes = LogMessageCodec.encode(new LogEnvelope(new GroupId("g"), FIRST, SECOND, message));
		bytes[Math.floorMod(position >> 4, bytes.length)] = value;
		try {
			assertThat(LogMessageCodec.decode(bytes).message()).isNotNull();
		}
		catch (MalformedMessageException ex) {
			assertThat(ex).hasMessageContaining("not a message");
		}
	}

}
