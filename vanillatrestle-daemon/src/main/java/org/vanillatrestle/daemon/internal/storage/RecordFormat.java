package org.vanillatrestle.daemon.internal.storage;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * The form of a record: magic, checksum, type, length, start of its batch, payload.
 * <p>
 * A batch is what one sync makes durable. A record of a later batch proves that
 * everything before that batch had reached the disk. Stateless and thread safe.
 */
final class RecordFormat {

	static final int HEADER_BYTES = 4 + 4 + 1 + 4 + 8;

	private static final int MAGIC = 0x76746c31;

	private static final int CHECKED_FROM = 8;

	private RecordFormat() {
	}

	static byte[] encode(RecordType type, long batchStart, byte[] payload) {
		ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + payload.length);
		buffer.putInt(MAGIC).putInt(0).put(type.code()).putInt(payload.length).putLong(batchStart).put(payload);
		buffer.putInt(4, checksum(buffer.array(), CHECKED_FROM, buffer.capacity() - CHECKED_FROM));
		return buffer.array();
	}

	/**
	 * Reads a record.
	 * @param file the bytes of the file
	 * @param offset where the record begins
	 * @return the record, unless the bytes there are none
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
		RecordType type = RecordType.of(buffer.get());
		int length = buffer.getInt();
		long batchStart = buffer.getLong();
		if (type == null || length < 0 || length > buffer.remaining()) {
			return Optional.empty();
		}
		int checkedLength = HEADER_BYTES - CHECKED_FROM + length;
		if (checksum != checksum(file, offset + CHECKED_FROM, checkedLength)) {
			return Optional.empty();
		}
		byte[] payload = new byte[length];
		buffer.get(payload);
		return Optional.of(new StoredRecord(type, batchStart, payload, offset + HEADER_BYTES + length));
	}

	static int checksum(byte[] bytes, int offset, int length) {
		CRC32C crc = new CRC32C();
		crc.update(bytes, offset, length);
		return (int) crc.getValue();
	}

	/**
	 * A record that was read.
	 *
	 * @param type what it holds
	 * @param batchStart the offset at which its batch began
	 * @param payload its bytes
	 * @param end the offset after it
	 */
	record StoredRecord(RecordType type, long batchStart, byte[] payload, int end) {
	}

}
