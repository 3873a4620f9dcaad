package org.vanillatrestle.internal.log;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Elections: a preliminary round that changes nothing, then votes in a new term.
 * <p>
 * A replica that is the only voter is elected at once. One vote for each term, on disk
 * before it is sent or counted. A replica that hears of a leader grants no votes, unless
 * that leader hands over. Not thread safe.
 */
final class Election {

	private final LogState state;

	private final Set<ReplicaId> granted = new TreeSet<>();

	private long ownVoteWrite;

	private boolean handover;

	Election(LogState state) {
		this.state = state;
	}

	void tick() {
		if (!this.state.isElectionDue()) {
			return;
		}
		this.state.resetElectionDeadline();
		if (this.state.membership().isVoter(this.state.self())) {
			startPreliminary();
		}
	}

	private void startPreliminary() {
		this.handover = false;
		this.state.setLeader(null);
		this.state.setRole(Role.PRE_CANDIDATE);
		this.granted.clear();
		this.granted.add(this.state.self());
		if (this.state.membership().isQuorum(this.granted)) {
			startVoting();
			return;
		}
		requestVotes(this.state.term() + 1, true);
	}

	private void startVoting() {
		this.state.setRole(Role.CANDIDATE);
		this.state.setLeader(null);
		this.state.saveVote(new Vote(this.state.term() + 1, Optional.of(this.state.self())));
		this.ownVoteWrite = this.state.outbox().writeNumber();
		this.granted.clear();
		requestVotes(this.state.term(), false);
	}

	private void requestVotes(long term, boolean preliminary) {
		EntryLog entries = this.state.entries();
		LogMessage request = new LogMessage.VoteRequest(term, entries.lastIndex(), entries.lastTerm(), preliminary,
				this.handover);
		for (ReplicaId voter : this.state.membership().voters()) {
			if (!voter.equals(this.state.self())) {
				this.state.sendAfterSync(voter, request);
			}
		}
	}

	/**
	 * Counts the own vote once it is on disk.
	 * @return whether the election is won
	 */
	boolean onSynced() {
		boolean counts = this.state.role() == Role.CANDIDATE && this.state.outbox().syncedNumber() >= this.ownVoteWrite;
		if (!counts) {
			return false;
		}
		this.granted.add(this.state.self());
		return this.state.membership().isQuorum(this.granted);
	}

	void onHandover(LogMessage.HandoverRequest request) {
		if (request.term() == this.state.term() && this.state.membership().isVoter(this.state.self())) {
			this.handover = true;
			this.state.resetElectionDeadline();
			startVoting();
		}
	}

	void onRequest(ReplicaId from, LogMessage.VoteRequest request) {
		boolean refusedUnheard = this.state.hasRecentLeader() && !request.handover();
		boolean grant = !refusedUnheard && (request.preliminary() ? wouldVote(request) : vote(from, request));
		boolean member = this.state.membership().contains(from);
		long term = (grant) ? request.term() : this.state.term();
		this.state.sendAfterSync(from, new LogMessage.VoteResponse(term, grant, request.preliminary(), member));
	}

	private boolean wouldVote(LogMessage.VoteRequest request) {
		return request.term() > this.state.term() && isUpToDate(request);
	}

	private boolean vote(ReplicaId from, LogMessage.VoteRequest request) {
		if (request.term() > this.state.term()) {
			this.state.follow(request.term(), null);
		}
		if (request.term() < this.state.term() || !isUpToDate(request)) {
			return false;
		}
		Optional<ReplicaId> votedFor = this.state.vote().votedFor();
		if (votedFor.isPresent() && !votedFor.get().equals(from)) {
			return false;
		}
		this.state.saveVote(new Vote(request.term(), Optional.of(from)));
		this.state.resetElectionDeadline();
		return true;
	}

	private boolean isUpToDate(LogMessage.VoteRequest request) {
		if (this.state.membership().group().equals(GroupId.NONE)) {
			return false;
		}
		EntryLog own = this.state.entries();
		if (request.lastTerm() != own.lastTerm()) {
			return request.lastTerm() > own.lastTerm();
		}
		return request.lastIndex() >= own.lastIndex();
	}

	boolean onResponse(ReplicaId from, LogMessage.VoteResponse response) {
		if (!response.member() && !this.state.hasRecentLeader()) {
			this.state.setRemoved(true);
		}
		if (!this.state.membership().isVoter(from)) {
			return false;
		}
		if (!response.granted()) {
			stepDownTo(response.term());
			return false;
		}
		if (response.preliminary()) {
			countPreliminary(from, response);
			return false;
		}
		if (this.state.role() != Role.CANDIDATE || response.term() != this.state.term()) {
			return false;
		}
		this.granted.add(from);
		return this.state.membership().isQuorum(this.granted);
	}

	private void countPreliminary(ReplicaId from, LogMessage.VoteResponse response) {
		if (this.state.role() != Role.PRE_CANDIDATE || response.term() != this.state.term() + 1) {
			return;
		}
		this.granted.add(from);
		if (this.state.membership().isQuorum(this.granted)) {
			startVoting();
		}
	}

	private void stepDownTo(long term) {
		if (term > this.state.term()) {
			this.state.follow(term, null);
			this.state.resetElectionDeadline();
		}
	}

}
