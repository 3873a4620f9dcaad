package org.vanillatrestle.daemon.internal.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Reads the records of a segment and tells a torn tail from damage.
 * <p>
 * A tail may be cut only if no record after it proves that it had been synced. Stateless
 * and thread safe.
 */
final class SegmentReader {

	private SegmentReader() {
	}

	/**
	 * Reads a segment.
	 * @param name the file, for errors
	 * @param bytes its bytes
	 * @param last whether it is the last segment, whose tail may be torn
	 * @return the records and where the whole ones end
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
			offset = record.get().end();
		}
		return new Contents(records, offset);
	}

	private static void checkTail(String name, byte[] bytes, int damagedAt, boolean last) throws StorageException {
		if (!last || hasLaterBatch(bytes, damagedAt)) {
			throw new StorageException(StorageException.Reason.DAMAGED,
					name + " is damaged at byte " + damagedAt + ", before records that were written later");
		}
	}

	private static boolean hasLaterBatch(byte[] bytes, int damagedAt) {
		for (int offset = damagedAt + 1; offset <= bytes.length - RecordFormat.HEADER_BYTES; offset++) {
			Optional<RecordFormat.StoredRecord> record = RecordFormat.decode(bytes, offset);
			if (record.isPresent() && record.get().batchStart() > damagedAt) {
				return true;
			}
		}
		return false;
	}

	/**
	 * What a segment holds.
	 *
	 * @param records the whole records
	 * @param end the offset after the last whole record
	 */
	record Contents(List<RecordFormat.StoredRecord> records, int end) {
	}

}
