package org.vanillatrestle.daemon.internal.storage;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.log.DiskWrite;
import org.vanillatrestle.internal.log.LogEntry;
import org.vanillatrestle.internal.log.RecoveredState;
import org.vanillatrestle.internal.log.ReplicaId;
import org.vanillatrestle.internal.log.Snapshot;
import org.vanillatrestle.internal.log.Vote;
import org.vanillatrestle.wire.LogRecordCodec;

/**
 * Stores the replicated log of one replica on disk and applies its writes in order.
 * <p>
 * Writes that precede a successful {@link #sync()}, and the recovered state, survive any
 * crash after it. After a failed write or sync, all further writes and syncs are rejected
 * because the contents of the disk are unknown. Not thread safe.
 */
public final class LogStorage implements Closeable {

	private final StorageFiles files;

	private final ReplicaId replica;

	private final RecoveredState recovered;

	private final long recoveredBytes;

	private final SnapshotFiles snapshots;

	private final Segments segments;

	private Vote vote;

	private boolean failed;

	LogStorage(StorageFiles files, ReplicaId replica, RecoveredState recovered, long recoveredBytes,
			Segments segments) {
		this.files = files;
		this.replica = replica;
		this.recovered = recovered;
		this.recoveredBytes = recoveredBytes;
		this.snapshots = new SnapshotFiles(files);
		this.segments = segments;
		this.vote = recovered.vote();
	}

	/**
	 * Opens a data folder.
	 * @param files the files of the folder; closed together with the storage, and also if
	 * opening fails
	 * @param vm the VM that must own the folder
	 * @param mode how to handle an empty folder
	 * @return the storage with the recovered state
	 * @throws StorageException if the folder must not be used
	 * @throws IOException if the folder can't be read or written
	 */
	public static LogStorage open(StorageFiles files, VmId vm, OpenMode mode) throws IOException {
		try {
			files.lock();
			return new FolderOpening(files, vm).open(mode);
		}
		catch (IOException | RuntimeException ex) {
			files.close();
			throw ex;
		}
	}

	public ReplicaId replica() {
		return this.replica;
	}

	/**
	 * Returns the state that was found when the folder was opened. It may be lost with
	 * the power until the first successful {@link #sync()}.
	 * @return the state from which the replica starts
	 */
	public RecoveredState recovered() {
		return this.recovered;
	}

	/**
	 * Returns the number of bytes that were read to recover the state.
	 * @return the total size of the snapshot and the segments, in bytes
	 */
	public long recoveredBytes() {
		return this.recoveredBytes;
	}

	/**
	 * Applies writes. They are durable after the next successful {@link #sync()}.
	 * @param writes the writes, in order
	 * @throws IOException if a write failed; all further writes and syncs are rejected
	 */
	public void write(List<DiskWrite> writes) throws IOException {
		runUnlessFailed(() -> {
			for (DiskWrite write : writes) {
				write(write);
			}
		});
	}

	/**
	 * Blocks until all writes and the recovered state are durable.
	 * @throws IOException if the writes may not be durable; all further writes and syncs
	 * are rejected
	 */
	public void sync() throws IOException {
		runUnlessFailed(this.segments::sync);
	}

	private void runUnlessFailed(IoAction action) throws IOException {
		if (this.failed) {
			throw new StorageException(StorageException.Reason.FAILED, "an earlier write or sync failed");
		}
		this.failed = true;
		action.run();
		this.failed = false;
	}

	private void write(DiskWrite write) throws IOException {
		if (write instanceof DiskWrite.SaveVote save) {
			this.vote = save.vote();
			this.segments.write(RecordType.VOTE, LogRecordCodec.encode(this.vote));
		}
		else if (write instanceof DiskWrite.AppendEntries append) {
			for (LogEntry entry : append.entries()) {
				this.segments.writeEntry(entry);
			}
		}
		else if (write instanceof DiskWrite.SaveSnapshot save) {
			saveSnapshot(save.snapshot(), save.discardLog());
		}
	}

	private void saveSnapshot(Snapshot snapshot, boolean discardLog) throws IOException {
		this.segments.sync();
		this.snapshots.write(snapshot);
		this.segments.startSegment(snapshot.lastIndex());
		this.segments.write(RecordType.VOTE, LogRecordCodec.encode(this.vote));
		if (discardLog) {
			this.segments.write(RecordType.RESET, new byte[0]);
		}
		this.segments.sync();
		this.segments.deleteCovered(snapshot.lastIndex(), discardLog);
		this.snapshots.deleteOlderThan(snapshot.lastIndex());
		this.files.syncFolder();
	}

	@Override
	public void close() throws IOException {
		try {
			this.segments.close();
		}
		finally {
			this.files.close();
		}
	}

	/**
	 * An action that may throw an {@link IOException}.
	 */
	private interface IoAction {

		void run() throws IOException;

	}

}
