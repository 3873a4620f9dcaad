package org.vanillatrestle.internal.log;

/**
 * The part a replica plays at a moment.
 */
public enum Role {

	/**
	 * Follows a leader or waits for one.
	 */
	FOLLOWER,

	/**
	 * Asks whether an election would succeed.
	 */
	PRE_CANDIDATE,

	/**
	 * Asks for votes in a new term.
	 */
	CANDIDATE,

	/**
	 * Takes proposals.
	 */
	LEADER,

	/**
	 * Its storage failed: takes part in nothing until it is started anew.
	 */
	FAILED

}
