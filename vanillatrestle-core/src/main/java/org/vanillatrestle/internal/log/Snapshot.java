package org.vanillatrestle.internal.log;

import java.util.Objects;

/**
 * The state of the state machine after a log entry. It replaces the log up to and
 * including that entry.
 * <p>
 * Immutable and thread safe as long as the state array is not modified.
 *
 * @param lastIndex the index of the last entry covered by the snapshot, 0 if there is
 * none
 * @param lastTerm the term of that entry
 * @param membership the membership in effect at that entry
 * @param state the serialised state of the state machine
 */
public record Snapshot(long lastIndex, long lastTerm, Membership membership, byte[] state) {

	public Snapshot {
		Objects.requireNonNull(membership, "membership");
		Objects.requireNonNull(state, "state");
	}

	/**
	 * The snapshot of a new replica.
	 * @param membership a group with one voter for the founder, {@link Membership#NONE}
	 * for a replica that will join a group
	 * @return an empty snapshot
	 */
	public static Snapshot initial(Membership membership) {
		return new Snapshot(0, 0, membership, new byte[0]);
	}

}
