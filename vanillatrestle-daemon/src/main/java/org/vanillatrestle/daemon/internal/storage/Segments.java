package org.vanillatrestle.daemon.internal.storage;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.vanillatrestle.internal.log.LogEntry;
import org.vanillatrestle.wire.LogRecordCodec;

/**
 * The segment files of a data folder. Records are appended to the last segment.
 * <p>
 * Segment numbers are consecutive. Every segment starts with a header record. A segment
 * is ended with a {@code CLOSED} record before any record other than the header is
 * written to the next segment. Not thread safe.
 */
final class Segments implements Closeable {

	private static final String PREFIX = "segment-";

	/**
	 * The number of segments that a killed process may have left unsynced: the last one,
	 * and the one before it with the record that closes it.
	 */
	private static final int MAX_UNSYNCED_SEGMENTS = 2;

	private final StorageFiles files;

	private final String storage;

	private final TreeMap<Long, Long> lastIndexByNumber = new TreeMap<>();

	private final List<String> recoveredUnsynced = new ArrayList<>();

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
	 * Creates the first segment of a new folder.
	 * @param files the files of the folder
	 * @param storage the storage id of the folder
	 * @return the segments, ready for writes
	 * @throws IOException if the segment can't be written
	 */
	static Segments create(StorageFiles files, String storage) throws IOException {
		Segments segments = new Segments(files, storage);
		segments.startSegment(0);
		segments.sync();
		return segments;
	}

	/**
	 * Opens the last segment of an existing folder for appending.
	 * @param files the files of the folder
	 * @param storage the storage id of the folder
	 * @param lastIndexes the highest entry index in each segment, by segment number
	 * @param sizeBytes the size of the last segment, in bytes
	 * @return the segments, ready for writes
	 * @throws IOException if the last segment can't be opened
	 */
	static Segments reopen(StorageFiles files, String storage, Map<Long, Long> lastIndexes, long sizeBytes)
			throws IOException {
		Segments segments = new Segments(files, storage);
		segments.lastIndexByNumber.putAll(lastIndexes);
		segments.lastIndexByNumber.descendingKeySet()
			.stream()
			.limit(MAX_UNSYNCED_SEGMENTS)
			.forEach((number) -> segments.recoveredUnsynced.add(nameOf(number)));
		segments.writer = new SegmentWriter(files.openForAppend(nameOf(segments.lastIndexByNumber.lastKey())),
				sizeBytes);
		return segments;
	}

	/**
	 * Starts a new segment. All earlier writes must have been synced.
	 * @param snapshotIndex the last index in the newest snapshot
	 * @throws IOException if the segment can't be written
	 */
	void startSegment(long snapshotIndex) throws IOException {
		long number = this.lastIndexByNumber.isEmpty() ? 1 : this.lastIndexByNumber.lastKey() + 1;
		SegmentWriter previous = this.writer;
		this.writer = new SegmentWriter(this.files.openForAppend(nameOf(number)), 0);
		this.lastIndexByNumber.put(number, 0L);
		write(RecordType.HEADER, new SegmentHeader(this.storage, number, snapshotIndex).encode());
		sync();
		this.files.syncFolder();
		if (previous != null) {
			closeSegment(previous);
		}
	}

	private static void closeSegment(SegmentWriter previous) throws IOException {
		try (previous) {
			previous.write(RecordType.CLOSED, new byte[0]);
			previous.sync();
		}
	}

	void write(RecordType type, byte[] payload) throws IOException {
		this.writer.write(type, payload);
	}

	void writeEntry(LogEntry entry) throws IOException {
		write(RecordType.ENTRY, LogRecordCodec.encode(entry));
		this.lastIndexByNumber.merge(this.lastIndexByNumber.lastKey(), entry.index(), Math::max);
	}

	/**
	 * Blocks until all records are durable. The first call after the folder was opened
	 * also syncs what was recovered, because a killed process may have written it without
	 * a sync.
	 * @throws IOException if the records may not be durable
	 */
	void sync() throws IOException {
		syncRecovered();
		this.writer.sync();
	}

	private void syncRecovered() throws IOException {
		if (this.recoveredUnsynced.isEmpty()) {
			return;
		}
		for (String name : this.recoveredUnsynced) {
			try (AppendableFile file = this.files.openForAppend(name)) {
				file.sync();
			}
		}
		this.files.syncFolder();
		this.recoveredUnsynced.clear();
	}

	/**
	 * Deletes the oldest segments whose entries are all covered by a snapshot. Never
	 * deletes the last segment. Each deletion is durable before the next one, since a
	 * loss of power must not leave a gap; the last deletion remains to be synced.
	 * @param snapshotIndex the last index in the snapshot
	 * @param allExceptLast whether to delete every segment except the last one, even if
	 * the snapshot does not cover it
	 * @throws IOException if a segment can't be deleted
	 */
	void deleteCovered(long snapshotIndex, boolean allExceptLast) throws IOException {
		boolean deletionUnsynced = false;
		while (this.lastIndexByNumber.size() > 1) {
			Map.Entry<Long, Long> oldest = this.lastIndexByNumber.firstEntry();
			if (!allExceptLast && oldest.getValue() > snapshotIndex) {
				return;
			}
			if (deletionUnsynced) {
				this.files.syncFolder();
			}
			deletionUnsynced = true;
			this.files.delete(nameOf(oldest.getKey()));
			this.lastIndexByNumber.remove(oldest.getKey());
		}
	}

	@Override
	public void close() throws IOException {
		if (this.writer != null) {
			this.writer.close();
		}
	}

}
