package org.vanillatrestle.daemon.internal.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Reads the records of a segment and distinguishes a torn tail from damage.
 * <p>
 * A tail may be truncated only if no later record proves that the tail had been synced.
 * Stateless and thread safe.
 */
final class SegmentReader {

	private SegmentReader() {
	}

	/**
	 * Reads a segment.
	 * @param name the name of the file, for error messages
	 * @param bytes the contents of the file
	 * @param last whether the segment may have a torn tail
	 * @return the intact records and the offset at which they end
	 * @throws StorageException if the segment is damaged
	 */
	static Contents read(String name, byte[] bytes, boolean last) throws StorageException {
		List<RecordFormat.StoredRecord> records = new ArrayList<>();
		int offset = 0;
		while (offset < bytes.length) {
			Optional<RecordFormat.StoredRecord> record = RecordFormat.decode(bytes, offset);
			if (record.isEmpty()) {
				checkTail(name, bytes, offset, last);
				break;
			}
			records.add(record.get());
			offset = record.get().endOffset();
		}
		return new Contents(records, offset);
	}

	private static void checkTail(String name, byte[] bytes, int damagedOffset, boolean last) throws StorageException {
		if (!last || hasLaterBatch(bytes, damagedOffset)) {
			throw new StorageException(StorageException.Reason.DAMAGED,
					name + " is damaged at byte " + damagedOffset + ", before records of a later batch");
		}
	}

	private static boolean hasLaterBatch(byte[] bytes, int damagedOffset) {
		for (int offset = damagedOffset + 1; offset <= bytes.length - RecordFormat.HEADER_BYTES; offset++) {
			Optional<RecordFormat.StoredRecord> record = RecordFormat.decode(bytes, offset);
			if (record.isPresent() && record.get().batchStartOffset() > damagedOffset) {
				return true;
			}
		}
		return false;
	}

	/**
	 * The contents of a segment.
	 *
	 * @param records the intact records
	 * @param endOffset the offset after the last intact record, in bytes
	 */
	record Contents(List<RecordFormat.StoredRecord> records, int endOffset) {
	}

}
