package org.vanillatrestle.daemon.internal.storage;

import java.io.Closeable;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;

import org.vanillatrestle.internal.log.LogEntry;
import org.vanillatrestle.wire.LogRecordCodec;

/**
 * The segments of a folder, of which the last one is written to.
 * <p>
 * Numbers are consecutive. Every segment begins with a header, and ends as closed before
 * anything but the header is written to its successor. Not thread safe.
 */
final class Segments implements Closeable {

	private static final String PREFIX = "segment-";

	private final StorageFiles files;

	private final String storage;

	private final TreeMap<Long, Long> lastIndexes = new TreeMap<>();

	private SegmentWriter writer;

	private Segments(StorageFiles files, String storage) {
		this.files = files;
		this.storage = storage;
	}

	static String nameOf(long number) {
		return String.format("%s%016d", PREFIX, number);
	}

	static boolean isSegment(String name) {
		return name.startsWith(PREFIX);
	}

	/**
	 * Begins the first segment of a new folder.
	 * @param files the folder
	 * @param storage its storage id
	 * @return segments to write to
	 * @throws IOException if it can't be written
	 */
	static Segments create(StorageFiles files, String storage) throws IOException {
		Segments segments = new Segments(files, storage);
		segments.begin(0);
		segments.sync();
		return segments;
	}

	/**
	 * Goes on with the last segment.
	 * @param files the folder
	 * @param storage its storage id
	 * @param lastIndexes the highest index within each segment by number
	 * @param sizeBytes the size of the last segment
	 * @return segments to write to
	 * @throws IOException if it can't be opened
	 */
	static Segments reopen(StorageFiles files, String storage, Map<Long, Long> lastIndexes, long sizeBytes)
			throws IOException {
		Segments segments = new Segments(files, storage);
		segments.lastIndexes.putAll(lastIndexes);
		segments.writer = new SegmentWriter(files.append(nameOf(segments.lastIndexes.lastKey())), sizeBytes);
		return segments;
	}

	/**
	 * Begins a new segment; what was written before must be synced.
	 * @param snapshotIndex the newest snapshot
	 * @throws IOException if it can't be written
	 */
	void begin(long snapshotIndex) throws IOException {
		long number = this.lastIndexes.isEmpty() ? 1 : this.lastIndexes.lastKey() + 1;
		SegmentWriter former = this.writer;
		this.writer = new SegmentWriter(this.files.append(nameOf(number)), 0);
		this.lastIndexes.put(number, 0L);
		write(RecordType.HEADER, new SegmentHeader(this.storage, number, snapshotIndex).encode());
		sync();
		this.files.syncFolder();
		if (former != null) {
			end(former);
		}
	}

	private static void end(SegmentWriter former) throws IOException {
		try (former) {
			former.write(RecordType.CLOSED, new byte[0]);
			former.sync();
		}
	}

	void write(RecordType type, byte[] payload) throws IOException {
		this.writer.write(type, payload);
	}

	void writeEntry(LogEntry entry) throws IOException {
		write(RecordType.ENTRY, LogRecordCodec.encode(entry));
		this.lastIndexes.merge(this.lastIndexes.lastKey(), entry.index(), Math::max);
	}

	void sync() throws IOException {
		this.writer.sync();
	}

	/**
	 * Deletes the oldest segments whose entries a snapshot covers.
	 * @param snapshotIndex the last index within the snapshot
	 * @param all whether to delete every segment but the last
	 * @throws IOException if one can't be deleted
	 */
	void deleteCovered(long snapshotIndex, boolean all) throws IOException {
		while (this.lastIndexes.size() > 1) {
			Map.Entry<Long, Long> oldest = this.lastIndexes.firstEntry();
			if (!all && oldest.getValue() > snapshotIndex) {
				return;
			}
			this.files.delete(nameOf(oldest.getKey()));
			this.lastIndexes.remove(oldest.getKey());
		}
	}

	@Override
	public void close() throws IOException {
		if (this.writer != null) {
			this.writer.close();
		}
	}

}
