package org.vanillatrestle.internal.log;

import java.util.Objects;

/**
 * The state machine's state after an entry; replaces the log up to that entry.
 * <p>
 * Immutable and thread safe as long as nobody writes to the state's bytes.
 *
 * @param lastIndex the index of the last entry within, 0 for none
 * @param lastTerm the term of that entry
 * @param membership the membership in force at that entry
 * @param state the state machine's own bytes
 */
public record Snapshot(long lastIndex, long lastTerm, Membership membership, byte[] state) {

	public Snapshot {
		Objects.requireNonNull(membership, "membership");
		Objects.requireNonNull(state, "state");
	}

	/**
	 * The snapshot a replica begins with.
	 * @param membership a group of one for a founder, {@link Membership#NONE} for a
	 * replica that is to join
	 * @return an empty snapshot
	 */
	public static Snapshot initial(Membership membership) {
		return new Snapshot(0, 0, membership, new byte[0]);
	}

}
