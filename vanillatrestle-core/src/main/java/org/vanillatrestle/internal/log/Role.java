package org.vanillatrestle.internal.log;

/**
 * The current role of a replica.
 */
public enum Role {

	/**
	 * Follows a leader, or waits for one to be elected.
	 */
	FOLLOWER,

	/**
	 * Asks the voters whether they would grant a vote, without starting a new term.
	 */
	PRE_CANDIDATE,

	/**
	 * Requests votes in a new term.
	 */
	CANDIDATE,

	/**
	 * Accepts proposals and replicates entries.
	 */
	LEADER,

	/**
	 * The storage failed; the replica is inactive until it is restarted.
	 */
	FAILED

}
