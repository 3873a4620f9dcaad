package org.vanillatrestle.daemon.internal.storage;

/**
 * The type of a record in a segment. The code is part of the file format.
 */
enum RecordType {

	/**
	 * The first record of every segment.
	 */
	HEADER(1),

	/**
	 * The current term and vote; replaces the previous vote record.
	 */
	VOTE(2),

	/**
	 * A log entry; invalidates all earlier entries with the same or a higher index.
	 */
	ENTRY(3),

	/**
	 * Invalidates all earlier entries because a snapshot has replaced the log.
	 */
	RESET(4),

	/**
	 * The last record of a segment that is followed by another segment.
	 */
	CLOSED(5);

	private final byte code;

	RecordType(int code) {
		this.code = (byte) code;
	}

	byte code() {
		return this.code;
	}

	static RecordType fromCode(byte code) {
		for (RecordType type : values()) {
			if (type.code == code) {
				return type;
			}
		}
		return null;
	}

}
