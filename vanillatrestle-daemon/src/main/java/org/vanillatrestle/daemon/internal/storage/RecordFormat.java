package org.vanillatrestle.daemon.internal.storage;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * Encodes and decodes records: magic number, checksum, type, payload length, start offset
 * of the batch, payload.
 * <p>
 * A batch consists of the records that one sync makes durable. A record of a later batch
 * proves that everything before that batch was on disk. Stateless and thread safe.
 */
final class RecordFormat {

	static final int HEADER_BYTES = 4 + 4 + 1 + 4 + 8;

	private static final int MAGIC = 0x76746c31;

	private static final int CHECKSUMMED_OFFSET = 8;

	private RecordFormat() {
	}

	static byte[] encode(RecordType type, long batchStart, byte[] payload) {
		ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + payload.length);
		buffer.putInt(MAGIC).putInt(0).put(type.code()).putInt(payload.length).putLong(batchStart).put(payload);
		buffer.putInt(4, crc32c(buffer.array(), CHECKSUMMED_OFFSET, buffer.capacity() - CHECKSUMMED_OFFSET));
		return buffer.array();
	}

	/**
	 * Decodes a record.
	 * @param file the contents of the file
	 * @param offset the offset of the record, in bytes
	 * @return the record, or empty if there is no intact record at the offset
	 */
	static Optional<StoredRecord> decode(byte[] file, int offset) {
		if (file.length - offset < HEADER_BYTES) {
			return Optional.empty();
		}
		ByteBuffer buffer = ByteBuffer.wrap(file, offset, file.length - offset);
		if (buffer.getInt() != MAGIC) {
			return Optional.empty();
		}
		int checksum = buffer.getInt();
		RecordType type = RecordType.fromCode(buffer.get());
		int length = buffer.getInt();
		long batchStart = buffer.getLong();
		if (type == null || length < 0 || length > buffer.remaining()) {
			return Optional.empty();
		}
		int checksummedLength = HEADER_BYTES - CHECKSUMMED_OFFSET + length;
		if (checksum != crc32c(file, offset + CHECKSUMMED_OFFSET, checksummedLength)) {
			return Optional.empty();
		}
		byte[] payload = new byte[length];
		buffer.get(payload);
		return Optional.of(new StoredRecord(type, batchStart, payload, offset + HEADER_BYTES + length));
	}

	static int crc32c(byte[] bytes, int offset, int length) {
		CRC32C crc = new CRC32C();
		crc.update(bytes, offset, length);
		return (int) crc.getValue();
	}

	/**
	 * A decoded record.
	 *
	 * @param type the type of the record
	 * @param batchStartOffset the offset at which the batch of the record starts, in
	 * bytes
	 * @param payload the payload
	 * @param endOffset the offset after the record, in bytes
	 */
	record StoredRecord(RecordType type, long batchStartOffset, byte[] payload, int endOffset) {
	}

}
