package org.vanillatrestle.internal.log;

/**
 * What an entry of the log holds.
 * <p>
 * Immutable and thread safe as long as nobody writes to a command's bytes.
 */
public sealed interface EntryBody {

	/**
	 * The room the body takes.
	 * @return an estimate in bytes
	 */
	int sizeBytes();

	/**
	 * An entry a new leader begins its term with.
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
	 * A membership; in force from the moment the entry is in the log.
	 *
	 * @param membership the replicas from here on
	 */
	record MembershipChange(Membership membership) implements EntryBody {

		private static final int REPLICA_BYTES = 96;

		@Override
		public int sizeBytes() {
			return this.membership.members().size() * REPLICA_BYTES;
		}

	}

}
