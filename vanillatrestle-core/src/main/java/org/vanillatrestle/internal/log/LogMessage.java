package org.vanillatrestle.internal.log;

import java.util.List;

/**
 * A message between replicas of a group.
 * <p>
 * Immutable and thread safe as long as the contained arrays are not modified.
 */
public sealed interface LogMessage {

	/**
	 * The sender's term or, for a vote request or a granted vote, the term of the
	 * election.
	 * @return the term, 0 if the message does not use it
	 */
	long term();

	/**
	 * Entries from the leader; a heartbeat if there are none.
	 *
	 * @param term the leader's term
	 * @param previousIndex the index before the first entry
	 * @param previousTerm the term of the entry at that index
	 * @param entries entries with consecutive indexes
	 * @param commitIndex the last index that the leader knows to be committed
	 * @param readRound the last read round that the leader started
	 */
	record AppendRequest(long term, long previousIndex, long previousTerm, List<LogEntry> entries, long commitIndex,
			long readRound) implements LogMessage {
	}

	/**
	 * The response to an append request, sent after the entries are synced; also
	 * acknowledges a complete snapshot.
	 *
	 * @param term the follower's term
	 * @param accepted whether the entries match the follower's log
	 * @param matchIndex if accepted, the last index known to match; if rejected, the
	 * previous index with which the leader should retry
	 * @param rejectedIndex if rejected, the previous index that did not match
	 * @param readRound the read round of the request
	 */
	record AppendResponse(long term, boolean accepted, long matchIndex, long rejectedIndex,
			long readRound) implements LogMessage {
	}

	/**
	 * A chunk of the leader's snapshot.
	 *
	 * @param term the leader's term
	 * @param lastIndex the last index covered by the snapshot
	 * @param lastTerm the term of the entry at that index
	 * @param membership the membership in effect at that entry
	 * @param totalBytes the size of the complete state in bytes
	 * @param offsetBytes the offset of this chunk in the state, in bytes
	 * @param bytes the content of the chunk
	 * @param readRound the last read round that the leader started
	 */
	record SnapshotChunk(long term, long lastIndex, long lastTerm, Membership membership, int totalBytes,
			int offsetBytes, byte[] bytes, long readRound) implements LogMessage {
	}

	/**
	 * The response to a chunk that did not complete the snapshot.
	 *
	 * @param term the follower's term
	 * @param lastIndex the last index covered by the snapshot, which identifies it
	 * @param nextOffsetBytes the offset of the chunk to send next, in bytes
	 * @param readRound the read round of the request
	 */
	record SnapshotChunkResponse(long term, long lastIndex, int nextOffsetBytes, long readRound) implements LogMessage {
	}

	/**
	 * Requests a vote.
	 *
	 * @param term the term of the election
	 * @param lastIndex the last index in the candidate's log
	 * @param lastTerm the term of the entry at that index
	 * @param preVote whether this is a pre-vote, which only asks if a vote would be
	 * granted
	 * @param handover whether the leader asked the candidate to take over
	 */
	record VoteRequest(long term, long lastIndex, long lastTerm, boolean preVote,
			boolean handover) implements LogMessage {
	}

	/**
	 * The response to a vote request. A granted vote, other than a pre-vote, is on disk
	 * before this is sent.
	 *
	 * @param term the term of the vote if granted, otherwise the voter's term
	 * @param granted whether the vote, or pre-vote, is granted
	 * @param preVote whether the request was a pre-vote
	 * @param member whether the candidate is a member in the voter's current membership
	 */
	record VoteResponse(long term, boolean granted, boolean preVote, boolean member) implements LogMessage {
	}

	/**
	 * The leader asks a voter to start an election at once and take over.
	 *
	 * @param term the leader's term
	 */
	record HandoverRequest(long term) implements LogMessage {
	}

	/**
	 * A replica asks to join the group.
	 *
	 * @param term not used
	 */
	record JoinRequest(long term) implements LogMessage {
	}

}
