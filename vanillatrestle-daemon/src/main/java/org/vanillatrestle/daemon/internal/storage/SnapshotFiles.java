package org.vanillatrestle.daemon.internal.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

import org.vanillatrestle.internal.log.Snapshot;
import org.vanillatrestle.wire.LogRecordCodec;
import org.vanillatrestle.wire.MalformedMessageException;

/**
 * The snapshot files of a data folder. A snapshot gets its final name only after it is
 * completely written and synced.
 * <p>
 * Not thread safe.
 */
final class SnapshotFiles {

	private static final String PREFIX = "snapshot-";

	private static final String TEMPORARY_SUFFIX = ".tmp";

	private static final int MAGIC = 0x76747331;

	private static final int HEADER_BYTES = 8;

	private final StorageFiles files;

	SnapshotFiles(StorageFiles files) {
		this.files = files;
	}

	static String nameOf(long index) {
		return String.format("%s%016d", PREFIX, index);
	}

	void write(Snapshot snapshot) throws IOException {
		String name = nameOf(snapshot.lastIndex());
		byte[] payload = LogRecordCodec.encode(snapshot);
		ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
		header.putInt(MAGIC).putInt(RecordFormat.crc32c(payload, 0, payload.length)).flip();
		try (AppendableFile file = this.files.openForAppend(name + TEMPORARY_SUFFIX)) {
			file.write(header);
			file.write(ByteBuffer.wrap(payload));
			file.sync();
		}
		this.files.rename(name + TEMPORARY_SUFFIX, name);
		this.files.syncFolder();
	}

	List<String> names() throws IOException {
		return this.files.names()
			.stream()
			.filter((name) -> name.startsWith(PREFIX) && !name.endsWith(TEMPORARY_SUFFIX))
			.toList();
	}

	/**
	 * Reads the newest snapshot.
	 * @return the snapshot
	 * @throws StorageException if there is no snapshot or the newest one is damaged
	 * @throws IOException if the snapshot can't be read
	 */
	LoadedSnapshot readNewest() throws IOException {
		List<String> names = names();
		if (names.isEmpty()) {
			throw new StorageException(StorageException.Reason.DAMAGED, "the data folder contains no snapshot");
		}
		String name = names.get(names.size() - 1);
		byte[] bytes = this.files.read(name);
		boolean intact = bytes.length >= HEADER_BYTES && ByteBuffer.wrap(bytes).getInt() == MAGIC
				&& ByteBuffer.wrap(bytes).getInt(4) == RecordFormat.crc32c(bytes, HEADER_BYTES,
						bytes.length - HEADER_BYTES);
		if (!intact) {
			throw new StorageException(StorageException.Reason.DAMAGED, name + " is damaged");
		}
		try {
			byte[] payload = java.util.Arrays.copyOfRange(bytes, HEADER_BYTES, bytes.length);
			return new LoadedSnapshot(LogRecordCodec.decodeSnapshot(payload), bytes.length);
		}
		catch (MalformedMessageException ex) {
			throw new StorageException(StorageException.Reason.DAMAGED, name + " is damaged", ex);
		}
	}

	void deleteOlderThan(long index) throws IOException {
		String newest = nameOf(index);
		for (String name : names()) {
			if (name.compareTo(newest) < 0) {
				this.files.delete(name);
			}
		}
	}

	void deleteTemporary() throws IOException {
		for (String name : this.files.names()) {
			if (name.endsWith(TEMPORARY_SUFFIX)) {
				this.files.delete(name);
			}
		}
	}

	/**
	 * A snapshot that was read from its file.
	 *
	 * @param snapshot the snapshot
	 * @param sizeBytes the size of the file, in bytes
	 */
	record LoadedSnapshot(Snapshot snapshot, long sizeBytes) {
	}

}
