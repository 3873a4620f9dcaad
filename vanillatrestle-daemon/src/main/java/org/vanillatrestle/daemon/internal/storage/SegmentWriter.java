package org.vanillatrestle.daemon.internal.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Writes records to one segment. The records between two syncs form one batch. They are
 * buffered until the sync, or until the buffer is full.
 * <p>
 * Not thread safe.
 */
final class SegmentWriter implements Closeable {

	private static final int BUFFER_BYTES = 256 * 1024;

	private final AppendableFile file;

	private ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);

	private long sizeBytes;

	private long batchStart;

	SegmentWriter(AppendableFile file, long sizeBytes) {
		this.file = file;
		this.sizeBytes = sizeBytes;
		this.batchStart = sizeBytes;
	}

	void write(RecordType type, byte[] payload) throws IOException {
		byte[] record = RecordFormat.encode(type, this.batchStart, payload);
		this.sizeBytes += record.length;
		if (record.length > this.buffer.remaining()) {
			flush();
		}
		if (record.length > this.buffer.capacity()) {
			this.file.write(ByteBuffer.wrap(record));
			return;
		}
		this.buffer.put(record);
	}

	void sync() throws IOException {
		flush();
		if (this.batchStart == this.sizeBytes) {
			return;
		}
		this.file.sync();
		this.batchStart = this.sizeBytes;
	}

	private void flush() throws IOException {
		if (this.buffer.position() > 0) {
			this.buffer.flip();
			this.file.write(this.buffer);
			this.buffer.clear();
		}
	}

	@Override
	public void close() throws IOException {
		this.file.close();
	}

}
