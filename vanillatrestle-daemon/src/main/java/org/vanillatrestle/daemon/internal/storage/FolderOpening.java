package org.vanillatrestle.daemon.internal.storage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeMap;

import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.log.GroupId;
import org.vanillatrestle.internal.log.LogEntry;
import org.vanillatrestle.internal.log.Membership;
import org.vanillatrestle.internal.log.RecoveredState;
import org.vanillatrestle.internal.log.ReplicaId;
import org.vanillatrestle.internal.log.Snapshot;
import org.vanillatrestle.internal.log.StorageId;
import org.vanillatrestle.wire.LogRecordCodec;
import org.vanillatrestle.wire.MalformedMessageException;

/**
 * Opens a data folder by recovering its replica or creating a new one.
 * <p>
 * Fails if synced data is missing or damaged, rather than starting with incomplete data.
 * Not thread safe.
 */
final class FolderOpening {

	private final StorageFiles files;

	private final VmId vm;

	private final SnapshotFiles snapshots;

	FolderOpening(StorageFiles files, VmId vm) {
		this.files = files;
		this.vm = vm;
		this.snapshots = new SnapshotFiles(files);
	}

	LogStorage open(OpenMode mode) throws IOException {
		if (!this.files.names().contains(FolderIdentity.FILE)) {
			deleteIncompleteCreation();
			return create(mode);
		}
		if (mode == OpenMode.CREATE_GROUP) {
			throw new StorageException(StorageException.Reason.NOT_EMPTY, "the data folder already contains a replica");
		}
		return recover();
	}

	private LogStorage create(OpenMode mode) throws IOException {
		if (mode == OpenMode.MUST_EXIST) {
			throw new StorageException(StorageException.Reason.EMPTIED,
					"the data folder of " + this.vm + " is expected to contain a replica but is empty");
		}
		ReplicaId replica = new ReplicaId(this.vm, new StorageId(FolderIdentity.randomId()));
		Membership membership = (mode == OpenMode.CREATE_GROUP)
				? Membership.ofFounder(new GroupId(FolderIdentity.randomId()), replica) : Membership.NONE;
		RecoveredState state = RecoveredState.initial(membership);
		this.snapshots.write(state.snapshot());
		Segments segments = Segments.create(this.files, replica.storage().value());
		FolderIdentity.write(this.files, replica);
		return new LogStorage(this.files, replica, state, 0, segments);
	}

	/**
	 * Deletes the files left by a process that crashed while creating the folder. Fails
	 * if the folder contains any other file.
	 */
	private void deleteIncompleteCreation() throws IOException {
		SortedSet<String> names = this.files.names();
		for (String name : names) {
			boolean fromCreation = name.endsWith(".tmp") || name.equals(SnapshotFiles.nameOf(0))
					|| (name.equals(Segments.nameOf(1)) && hasNoEntries(name));
			if (!fromCreation) {
				throw new StorageException(StorageException.Reason.DAMAGED,
						"the data folder contains " + name + " but no identity file");
			}
		}
		for (String name : names) {
			this.files.delete(name);
		}
	}

	private boolean hasNoEntries(String name) throws IOException {
		return SegmentReader.read(name, this.files.read(name), true).records().size() <= 1;
	}

	private LogStorage recover() throws IOException {
		ReplicaId replica = FolderIdentity.read(this.files);
		if (!replica.vm().equals(this.vm)) {
			throw new StorageException(StorageException.Reason.FOREIGN,
					"the data folder belongs to " + replica.vm() + ", not to " + this.vm);
		}
		this.snapshots.deleteTemporary();
		SnapshotFiles.LoadedSnapshot loaded = this.snapshots.readNewest();
		Snapshot snapshot = loaded.snapshot();
		List<Segment> found = readSegments();
		RecordReplayer replay = new RecordReplayer(snapshot);
		Map<Long, Long> lastIndexes = new TreeMap<>();
		long recoveredBytes = loaded.sizeBytes();
		for (Segment segment : found) {
			recoveredBytes += segment.sizeBytes();
			long number = checkHeader(segment, replica, snapshot);
			requireConsecutiveNumber(lastIndexes, number);
			lastIndexes.put(number, replay(replay, segment.contents()));
		}
		if (lastIndexes.isEmpty()) {
			throw damaged("the data folder contains no segments");
		}
		long lastSizeBytes = truncateTornTail(found.get(found.size() - 1));
		Segments segments = Segments.reopen(this.files, replica.storage().value(), lastIndexes, lastSizeBytes);
		if (replay.isResetRequired()) {
			segments.write(RecordType.RESET, new byte[0]);
			segments.sync();
		}
		return new LogStorage(this.files, replica, replay.buildRecoveredState(), recoveredBytes, segments);
	}

	private List<Segment> readSegments() throws IOException {
		List<String> names = this.files.names().stream().filter(Segments::isSegment).toList();
		List<Segment> found = new ArrayList<>();
		for (String name : names) {
			byte[] bytes = this.files.read(name);
			boolean last = name.equals(names.get(names.size() - 1));
			boolean unfinished = last && SegmentReader.read(name, bytes, true).records().size() <= 1;
			if (unfinished && !found.isEmpty() && !found.get(found.size() - 1).isClosed()) {
				this.files.delete(name);
				this.files.syncFolder();
			}
			else {
				found.add(new Segment(name, bytes.length, SegmentReader.read(name, bytes, canBeTorn(name, names))));
			}
		}
		requireClosedSegments(found);
		return found;
	}

	private static boolean canBeTorn(String name, List<String> names) {
		return names.indexOf(name) >= names.size() - 2;
	}

	private static void requireClosedSegments(List<Segment> found) throws StorageException {
		for (int i = 0; i < found.size(); i++) {
			boolean last = i == found.size() - 1;
			if (found.get(i).isClosed() == last) {
				throw damaged((last) ? "the segment after " + found.get(i).name() + " is missing"
						: found.get(i).name() + " is damaged at its end");
			}
		}
	}

	private long truncateTornTail(Segment last) throws IOException {
		int size = last.contents().endOffset();
		if (size < last.sizeBytes()) {
			this.files.truncate(last.name(), size);
		}
		return size;
	}

	private static void requireConsecutiveNumber(Map<Long, Long> earlier, long number) throws StorageException {
		if (!earlier.isEmpty() && !earlier.containsKey(number - 1)) {
			throw damaged(Segments.nameOf(number - 1) + " is missing");
		}
	}

	private static long checkHeader(Segment segment, ReplicaId replica, Snapshot snapshot) throws StorageException {
		String name = segment.name();
		SegmentReader.Contents contents = segment.contents();
		if (contents.records().isEmpty() || contents.records().get(0).type() != RecordType.HEADER) {
			throw damaged(name + " has no header");
		}
		SegmentHeader header = SegmentHeader.decode(contents.records().get(0).payload());
		if (!header.storageId().equals(replica.storage().value())) {
			throw new StorageException(StorageException.Reason.FOREIGN, name + " belongs to another data folder");
		}
		if (!Segments.nameOf(header.number()).equals(name)) {
			throw damaged(name + " has the header of another segment");
		}
		if (header.snapshotIndex() > snapshot.lastIndex()) {
			throw damaged(SnapshotFiles.nameOf(header.snapshotIndex()) + " is missing");
		}
		return header.number();
	}

	private static long replay(RecordReplayer replay, SegmentReader.Contents contents) throws StorageException {
		long lastIndex = 0;
		for (RecordFormat.StoredRecord record : contents.records()) {
			replay.add(record);
			if (record.type() == RecordType.ENTRY) {
				lastIndex = Math.max(lastIndex, indexOf(record));
			}
		}
		return lastIndex;
	}

	private static long indexOf(RecordFormat.StoredRecord record) throws StorageException {
		try {
			LogEntry entry = LogRecordCodec.decodeEntry(record.payload());
			return entry.index();
		}
		catch (MalformedMessageException ex) {
			throw new StorageException(StorageException.Reason.DAMAGED, "a record of the log can't be decoded", ex);
		}
	}

	private static StorageException damaged(String message) {
		return new StorageException(StorageException.Reason.DAMAGED, message);
	}

	/**
	 * The name, size in bytes and records of a segment file.
	 */
	private record Segment(String name, int sizeBytes, SegmentReader.Contents contents) {

		boolean isClosed() {
			List<RecordFormat.StoredRecord> records = this.contents.records();
			return !records.isEmpty() && records.get(records.size() - 1).type() == RecordType.CLOSED;
		}

	}

}
