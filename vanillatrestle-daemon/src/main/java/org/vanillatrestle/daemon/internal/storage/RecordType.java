package org.vanillatrestle.daemon.internal.storage;

/**
 * What a record of a segment holds. The code is part of the file format.
 */
enum RecordType {

	/**
	 * The first record of every segment.
	 */
	HEADER(1),

	/**
	 * Term and vote; replaces the one before.
	 */
	VOTE(2),

	/**
	 * An entry; entries from its index on before it are void.
	 */
	ENTRY(3),

	/**
	 * Every entry before it is void: a snapshot has replaced the log.
	 */
	RESET(4),

	/**
	 * The last record of a segment that has a successor.
	 */
	CLOSED(5);

	private final byte code;

	RecordType(int code) {
		this.code = (byte) code;
	}

	byte code() {
		return this.code;
	}

	static RecordType of(byte code) {
		for (RecordType type : values()) {
			if (type.code == code) {
				return type;
			}
		}
		return null;
	}

}
