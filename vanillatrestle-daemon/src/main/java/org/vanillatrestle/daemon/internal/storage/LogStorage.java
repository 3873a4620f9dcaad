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
 * The disk of one replica: carries out the writes of a replicated log in their order.
 * <p>
 * What was written before {@link #sync()} returned is found again after any crash. After
 * a failed write or sync nothing more is accepted, since what is on disk is not known.
 * Not thread safe.
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
	 * @param files the folder; closed with the storage, and also if it can't be opened
	 * @param vm the VM that the folder must belong to
	 * @param mode what to do with an empty folder
	 * @return the storage with what it found
	 * @throws StorageException if the folder must not be used
	 * @throws IOException if it can't be read or written
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
	 * What was on disk when the folder was opened.
	 * @return the state to start from
	 */
	public RecoveredState recovered() {
		return this.recovered;
	}

	/**
	 * How much was read to open the folder.
	 * @return the bytes of snapshot and segments
	 */
	public long recoveredBytes() {
		return this.recoveredBytes;
	}

	/**
	 * Carries out writes; they are on disk after the next {@link #sync()}.
	 * @param writes in order
	 * @throws IOException if one failed; nothing more is accepted
	 */
	public void write(List<DiskWrite> writes) throws IOException {
		guarded(() -> {
			for (DiskWrite write : writes) {
				write(write);
			}
		});
	}

	/**
	 * Waits until all writes are on disk.
	 * @throws IOException if they may not be; nothing more is accepted
	 */
	public void sync() throws IOException {
		guarded(this.segments::sync);
	}

	private void guarded(Step step) throws IOException {
		if (this.failed) {
			throw new StorageException(StorageException.Reason.FAILED, "an earlier write or sync failed");
		}
		this.failed = true;
		step.run();
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
		this.segments.begin(snapshot.lastIndex());
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
	 * A step that may fail.
	 */
	private interface Step {

		void run() throws IOException;

	}

}
