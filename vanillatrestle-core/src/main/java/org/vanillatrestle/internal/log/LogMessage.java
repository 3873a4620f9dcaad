package org.vanillatrestle.internal.log;

import java.util.List;

/**
 * A message between replicas of a group.
 * <p>
 * Immutable and thread safe as long as nobody writes to the bytes within.
 */
public sealed interface LogMessage {

	/**
	 * The sender's term.
	 * @return the term, 0 where it has no meaning
	 */
	long term();

	/**
	 * The leader's entries; without entries a heartbeat.
	 *
	 * @param term the leader's term
	 * @param previousIndex the index before the first entry
	 * @param previousTerm the term of the entry there
	 * @param entries consecutive entries
	 * @param commitIndex the last index known to be committed
	 * @param round the last read round that the leader began
	 */
	record AppendRequest(long term, long previousIndex, long previousTerm, List<LogEntry> entries, long commitIndex,
			long round) implements LogMessage {
	}

	/**
	 * The answer to entries; sent after they are synced.
	 *
	 * @param term the follower's term
	 * @param accepted whether the entries fit the follower's log
	 * @param matchIndex the last index known to match, or when refused the index to go
	 * back to
	 * @param rejectedIndex the previous index that did not match, when refused
	 * @param round the round of the request
	 */
	record AppendResponse(long term, boolean accepted, long matchIndex, long rejectedIndex,
			long round) implements LogMessage {
	}

	/**
	 * A part of the leader's snapshot.
	 *
	 * @param term the leader's term
	 * @param lastIndex the last index within the snapshot
	 * @param lastTerm the term of that entry
	 * @param membership the membership in force at that entry
	 * @param totalBytes the size of the whole state
	 * @param offsetBytes where this part begins
	 * @param bytes the part
	 * @param round the last read round that the leader began
	 */
	record SnapshotChunk(long term, long lastIndex, long lastTerm, Membership membership, int totalBytes,
			int offsetBytes, byte[] bytes, long round) implements LogMessage {
	}

	/**
	 * The answer to a part that did not complete the snapshot.
	 *
	 * @param term the follower's term
	 * @param lastIndex the snapshot
	 * @param nextOffsetBytes the part to send next
	 * @param round the round of the request
	 */
	record SnapshotChunkResponse(long term, long lastIndex, int nextOffsetBytes, long round) implements LogMessage {
	}

	/**
	 * Asks for a vote.
	 *
	 * @param term the term to be elected in
	 * @param lastIndex the candidate's last index
	 * @param lastTerm the term of that entry
	 * @param preliminary whether it only asks if a vote would be granted
	 * @param handover whether the leader asked the candidate to take over
	 */
	record VoteRequest(long term, long lastIndex, long lastTerm, boolean preliminary,
			boolean handover) implements LogMessage {
	}

	/**
	 * The answer to a candidate; a granted vote is on disk.
	 *
	 * @param term the term of the vote when granted, else the voter's
	 * @param granted whether the candidate has the vote
	 * @param preliminary whether the request was preliminary
	 * @param member whether the voter knows the candidate as a member
	 */
	record VoteResponse(long term, boolean granted, boolean preliminary, boolean member) implements LogMessage {
	}

	/**
	 * The leader asks a voter to take over at once.
	 *
	 * @param term the leader's term
	 */
	record HandoverRequest(long term) implements LogMessage {
	}

	/**
	 * A replica asks to be taken into the group.
	 *
	 * @param term without meaning
	 */
	record JoinRequest(long term) implements LogMessage {
	}

}
