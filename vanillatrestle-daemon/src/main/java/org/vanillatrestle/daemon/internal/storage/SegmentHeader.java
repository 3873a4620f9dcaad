package org.vanillatrestle.daemon.internal.storage;

import java.nio.charset.StandardCharsets;

/**
 * The payload of the first record of a segment.
 *
 * @param storageId the storage id of the data folder
 * @param number the number of the segment
 * @param snapshotIndex the last index in the newest snapshot when the segment was started
 */
record SegmentHeader(String storageId, long number, long snapshotIndex) {

	private static final String SEPARATOR = " ";

	byte[] encode() {
		String text = String.join(SEPARATOR, this.storageId, Long.toString(this.number),
				Long.toString(this.snapshotIndex));
		return text.getBytes(StandardCharsets.UTF_8);
	}

	static SegmentHeader decode(byte[] bytes) throws StorageException {
		String[] parts = new String(bytes, StandardCharsets.UTF_8).split(SEPARATOR);
		if (parts.length != 3) {
			throw new StorageException(StorageException.Reason.DAMAGED, "the header of a segment is malformed");
		}
		return new SegmentHeader(parts[0], Long.parseLong(parts[1]), Long.parseLong(parts[2]));
	}

}
