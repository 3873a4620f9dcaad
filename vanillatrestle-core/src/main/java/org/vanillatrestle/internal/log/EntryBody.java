package org.vanillatrestle.internal.log;

/**
 * The content of a log entry.
 * <p>
 * Immutable and thread safe as long as the array of a command is not modified.
 */
public sealed interface EntryBody {

	/**
	 * The approximate size of the body.
	 * @return the estimated size in bytes
	 */
	int sizeBytes();

	/**
	 * The entry that a new leader appends at the start of its term.
	 */
	record NoOp() implements EntryBody {

		@Override
		public int sizeBytes() {
			return 0;
		}

	}

	/**
	 * An opaque command for the state machine.
	 *
	 * @param bytes the command
	 */
	record Command(byte[] bytes) implements EntryBody {

		@Override
		public int sizeBytes() {
			return this.bytes.length;
		}

	}

	/**
	 * A new membership, which takes effect as soon as the entry is in the log.
	 *
	 * @param membership the membership from this entry on
	 */
	record MembershipChange(Membership membership) implements EntryBody {

		private static final int REPLICA_BYTES = 96;

		@Override
		public int sizeBytes() {
			return this.membership.members().size() * REPLICA_BYTES;
		}

	}

}
