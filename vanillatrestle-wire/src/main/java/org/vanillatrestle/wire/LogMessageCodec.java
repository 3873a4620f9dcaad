package org.vanillatrestle.wire;

import java.util.List;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnsafeByteOperations;
import org.vanillatrestle.internal.log.GroupId;
import org.vanillatrestle.internal.log.LogEntry;
import org.vanillatrestle.internal.log.LogEnvelope;
import org.vanillatrestle.internal.log.LogMessage;
import org.vanillatrestle.wire.generated.log.AppendRequestMessage;
import org.vanillatrestle.wire.generated.log.AppendResponseMessage;
import org.vanillatrestle.wire.generated.log.HandoverRequestMessage;
import org.vanillatrestle.wire.generated.log.JoinRequestMessage;
import org.vanillatrestle.wire.generated.log.LogEnvelopeMessage;
import org.vanillatrestle.wire.generated.log.SnapshotChunkMessage;
import org.vanillatrestle.wire.generated.log.SnapshotChunkResponseMessage;
import org.vanillatrestle.wire.generated.log.VoteRequestMessage;
import org.vanillatrestle.wire.generated.log.VoteResponseMessage;

/**
 * Turns messages between replicas into bytes and back.
 * <p>
 * {@code decode(encode(x))} equals x. Stateless and thread safe.
 */
public final class LogMessageCodec {

	private LogMessageCodec() {
	}

	/**
	 * Encodes a message.
	 * @param envelope the message
	 * @return its bytes
	 */
	public static byte[] encode(LogEnvelope envelope) {
		LogEnvelopeMessage.Builder builder = LogEnvelopeMessage.newBuilder()
			.setGroup(envelope.group().value())
			.setFrom(LogRecordCodec.toMessage(envelope.from()))
			.setTo(LogRecordCodec.toMessage(envelope.to()));
		put(builder, envelope.message());
		return builder.build().toByteArray();
	}

	/**
	 * Decodes a message.
	 * @param bytes what {@link #encode} gave
	 * @return the message
	 * @throws MalformedMessageException if the bytes are no message
	 */
	public static LogEnvelope decode(byte[] bytes) throws MalformedMessageException {
		try {
			LogEnvelopeMessage message = LogEnvelopeMessage.parseFrom(bytes);
			return new LogEnvelope(new GroupId(message.getGroup()), LogRecordCodec.fromMessage(message.getFrom()),
					LogRecordCodec.fromMessage(message.getTo()), body(message));
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			throw new MalformedMessageException("not a message of a replicated log: " + ex.getMessage(), ex);
		}
	}

	private static void put(LogEnvelopeMessage.Builder builder, LogMessage message) {
		if (message instanceof LogMessage.AppendRequest request) {
			builder.setAppendRequest(toMessage(request));
		}
		else if (message instanceof LogMessage.AppendResponse response) {
			builder.setAppendResponse(toMessage(response));
		}
		else if (message instanceof LogMessage.SnapshotChunk chunk) {
			builder.setSnapshotChunk(toMessage(chunk));
		}
		else if (message instanceof LogMessage.SnapshotChunkResponse response) {
			builder.setSnapshotChunkResponse(toMessage(response));
		}
		else if (message instanceof LogMessage.VoteRequest request) {
			builder.setVoteRequest(toMessage(request));
		}
		else if (message instanceof LogMessage.VoteResponse response) {
			builder.setVoteResponse(toMessage(response));
		}
		else if (message instanceof LogMessage.HandoverRequest request) {
			builder.setHandoverRequest(HandoverRequestMessage.newBuilder().setTerm(request.term()));
		}
		else if (message instanceof LogMessage.JoinRequest) {
			builder.setJoinRequest(JoinRequestMessage.getDefaultInstance());
		}
	}

	private static LogMessage body(LogEnvelopeMessage message) {
		return switch (message.getMessageCase()) {
			case APPEND_REQUEST -> fromMessage(message.getAppendRequest());
			case APPEND_RESPONSE -> fromMessage(message.getAppendResponse());
			case SNAPSHOT_CHUNK -> fromMessage(message.getSnapshotChunk());
			case SNAPSHOT_CHUNK_RESPONSE -> fromMessage(message.getSnapshotChunkResponse());
			case VOTE_REQUEST -> fromMessage(message.getVoteRequest());
			case VOTE_RESPONSE -> fromMessage(message.getVoteResponse());
			case HANDOVER_REQUEST -> new LogMessage.HandoverRequest(message.getHandoverRequest().getTerm());
			case JOIN_REQUEST -> new LogMessage.JoinRequest(0);
			case MESSAGE_NOT_SET -> throw new IllegalArgumentException("the kind of the message is not known");
		};
	}

	private static AppendRequestMessage toMessage(LogMessage.AppendRequest request) {
		AppendRequestMessage.Builder builder = AppendRequestMessage.newBuilder()
			.setTerm(request.term())
			.setPreviousIndex(request.previousIndex())
			.setPreviousTerm(request.previousTerm())
			.setCommitIndex(request.commitIndex())
			.setRound(request.readRound());
		request.entries().forEach((entry) -> builder.addEntries(LogRecordCodec.toMessage(entry)));
		return builder.build();
	}

	private static LogMessage fromMessage(AppendRequestMessage message) {
		List<LogEntry> entries = message.getEntriesList().stream().map(LogRecordCodec::fromMessage).toList();
		for (int i = 0; i < entries.size(); i++) {
			if (entries.get(i).index() != message.getPreviousIndex() + i + 1) {
				throw new IllegalArgumentException("entries are not consecutive");
			}
		}
		return new LogMessage.AppendRequest(message.getTerm(), message.getPreviousIndex(), message.getPreviousTerm(),
				entries, message.getCommitIndex(), message.getRound());
	}

	private static AppendResponseMessage toMessage(LogMessage.AppendResponse response) {
		return AppendResponseMessage.newBuilder()
			.setTerm(response.term())
			.setAccepted(response.accepted())
			.setMatchIndex(response.matchIndex())
			.setRejectedIndex(response.rejectedIndex())
			.setRound(response.readRound())
			.build();
	}

	private static LogMessage fromMessage(AppendResponseMessage message) {
		return new LogMessage.AppendResponse(message.getTerm(), message.getAccepted(), message.getMatchIndex(),
				message.getRejectedIndex(), message.getRound());
	}

	private static SnapshotChunkMessage toMessage(LogMessage.SnapshotChunk chunk) {
		ByteString part = UnsafeByteOperations.unsafeWrap(chunk.bytes());
		return SnapshotChunkMessage.newBuilder()
			.setTerm(chunk.term())
			.setLastIndex(chunk.lastIndex())
			.setLastTerm(chunk.lastTerm())
			.setMembership(LogRecordCodec.toMessage(chunk.membership()))
			.setTotalBytes(chunk.totalBytes())
			.setOffsetBytes(chunk.offsetBytes())
			.setPart(part)
			.setRound(chunk.readRound())
			.build();
	}

	private static LogMessage fromMessage(SnapshotChunkMessage message) {
		int total = message.getTotalBytes();
		int offset = message.getOffsetBytes();
		int length = message.getPart().size();
		boolean fits = total >= 0 && offset >= 0 && offset <= total - length;
		if (!fits) {
			throw new IllegalArgumentException("a part lies outside its snapshot");
		}
		return new LogMessage.SnapshotChunk(message.getTerm(), message.getLastIndex(), message.getLastTerm(),
				LogRecordCodec.fromMessage(message.getMembership()), total, offset, message.getPart().toByteArray(),
				message.getRound());
	}

	private static SnapshotChunkResponseMessage toMessage(LogMessage.SnapshotChunkResponse response) {
		return SnapshotChunkResponseMessage.newBuilder()
			.setTerm(response.term())
			.setLastIndex(response.lastIndex())
			.setNextOffsetBytes(response.nextOffsetBytes())
			.setRound(response.readRound())
			.build();
	}

	private static LogMessage fromMessage(SnapshotChunkResponseMessage message) {
		if (message.getNextOffsetBytes() < 0) {
			throw new IllegalArgumentException("a part begins before its snapshot");
		}
		return new LogMessage.SnapshotChunkResponse(message.getTerm(), message.getLastIndex(),
				message.getNextOffsetBytes(), message.getRound());
	}

	private static VoteRequestMessage toMessage(LogMessage.VoteRequest request) {
		return VoteRequestMessage.newBuilder()
			.setTerm(request.term())
			.setLastIndex(request.lastIndex())
			.setLastTerm(request.lastTerm())
			.setPreliminary(request.preVote())
			.setHandover(request.handover())
			.build();
	}

	private static LogMessage fromMessage(VoteRequestMessage message) {
		return new LogMessage.VoteRequest(message.getTerm(), message.getLastIndex(), message.getLastTerm(),
				message.getPreliminary(), message.getHandover());
	}

	private static VoteResponseMessage toMessage(LogMessage.VoteResponse response) {
		return VoteResponseMessage.newBuilder()
			.setTerm(response.term())
			.setGranted(response.granted())
			.setPreliminary(response.preVote())
			.setMember(response.member())
			.build();
	}

	private static LogMessage fromMessage(VoteResponseMessage message) {
		return new LogMessage.VoteResponse(message.getTerm(), message.getGranted(), message.getPreliminary(),
				message.getMember());
	}

}
