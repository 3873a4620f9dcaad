package org.vanillatrestle.internal.log;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Runs elections: first a pre-vote, which changes no term and no vote, then a vote in a
 * new term.
 * <p>
 * The only voter of a group skips the pre-vote requests and votes for itself at once. A
 * replica grants one vote per term, and the vote is on disk before it is sent or counted.
 * A replica that has had recent contact with a leader grants no votes, unless that leader
 * asked the candidate to take over. Not thread safe.
 */
final class Election {

	private final LogState state;

	private final Set<ReplicaId> votesReceived = new TreeSet<>();

	private long ownVoteWriteNumber;

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
			startPreVote();
		}
	}

	private void startPreVote() {
		this.handover = false;
		this.state.setLeader(null);
		this.state.setRole(Role.PRE_CANDIDATE);
		this.votesReceived.clear();
		this.votesReceived.add(this.state.self());
		if (this.state.membership().isQuorum(this.votesReceived)) {
			startElection();
			return;
		}
		requestVotes(this.state.term() + 1, true);
	}

	private void startElection() {
		this.state.setRole(Role.CANDIDATE);
		this.state.setLeader(null);
		this.state.saveVote(new Vote(this.state.term() + 1, Optional.of(this.state.self())));
		this.ownVoteWriteNumber = this.state.outbox().writeNumber();
		this.votesReceived.clear();
		requestVotes(this.state.term(), false);
	}

	private void requestVotes(long term, boolean preVote) {
		EntryLog entries = this.state.entries();
		LogMessage request = new LogMessage.VoteRequest(term, entries.lastIndex(), entries.lastTerm(), preVote,
				this.handover);
		for (ReplicaId voter : this.state.membership().voters()) {
			if (!voter.equals(this.state.self())) {
				this.state.sendAfterSync(voter, request);
			}
		}
	}

	/**
	 * Counts this replica's own vote once it is on disk.
	 * @return whether the election is won
	 */
	boolean onSynced() {
		boolean ownVoteSynced = this.state.role() == Role.CANDIDATE
				&& this.state.outbox().syncedWriteNumber() >= this.ownVoteWriteNumber;
		if (!ownVoteSynced) {
			return false;
		}
		this.votesReceived.add(this.state.self());
		return this.state.membership().isQuorum(this.votesReceived);
	}

	void onHandoverRequest(LogMessage.HandoverRequest request) {
		if (request.term() == this.state.term() && this.state.membership().isVoter(this.state.self())) {
			this.handover = true;
			this.state.resetElectionDeadline();
			startElection();
		}
	}

	void onVoteRequest(ReplicaId from, LogMessage.VoteRequest request) {
		boolean rejectedForLeader = this.state.hasRecentLeader() && !request.handover();
		boolean grant = !rejectedForLeader
				&& (request.preVote() ? wouldGrantVote(request) : tryGrantVote(from, request));
		boolean member = this.state.membership().contains(from);
		long term = (grant) ? request.term() : this.state.term();
		this.state.sendAfterSync(from, new LogMessage.VoteResponse(term, grant, request.preVote(), member));
	}

	private boolean wouldGrantVote(LogMessage.VoteRequest request) {
		return request.term() > this.state.term() && isUpToDate(request);
	}

	private boolean tryGrantVote(ReplicaId from, LogMessage.VoteRequest request) {
		if (request.term() > this.state.term()) {
			this.state.becomeFollower(request.term(), null);
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
		EntryLog ownLog = this.state.entries();
		if (request.lastTerm() != ownLog.lastTerm()) {
			return request.lastTerm() > ownLog.lastTerm();
		}
		return request.lastIndex() >= ownLog.lastIndex();
	}

	boolean onVoteResponse(ReplicaId from, LogMessage.VoteResponse response) {
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
		if (response.preVote()) {
			countPreVote(from, response);
			return false;
		}
		if (this.state.role() != Role.CANDIDATE || response.term() != this.state.term()) {
			return false;
		}
		this.votesReceived.add(from);
		return this.state.membership().isQuorum(this.votesReceived);
	}

	private void countPreVote(ReplicaId from, LogMessage.VoteResponse response) {
		if (this.state.role() != Role.PRE_CANDIDATE || response.term() != this.state.term() + 1) {
			return;
		}
		this.votesReceived.add(from);
		if (this.state.membership().isQuorum(this.votesReceived)) {
			startElection();
		}
	}

	private void stepDownTo(long term) {
		if (term > this.state.term()) {
			this.state.becomeFollower(term, null);
			this.state.resetElectionDeadline();
		}
	}

}
