package org.vanillatrestle.internal.log;

/**
 * Assembles a snapshot from its chunks.
 * <p>
 * Installs only a complete snapshot whose last entry is after this replica's commit index
 * and not in its log. A chunk of a different snapshot restarts the assembly; a chunk out
 * of order is dropped. Not thread safe.
 */
final class SnapshotReceiver {

	private final LogState state;

	private long lastIndex = -1;

	private long lastTerm = -1;

	private byte[] buffer = new byte[0];

	private int receivedBytes;

	SnapshotReceiver(LogState state) {
		this.state = state;
	}

	void onChunk(ReplicaId from, LogMessage.SnapshotChunk chunk) {
		if (isAlreadyInLog(chunk)) {
			this.state.commitTo(Math.min(chunk.lastIndex(), this.state.entries().lastIndex()));
			acknowledge(from, chunk);
			return;
		}
		boolean differs = chunk.lastIndex() != this.lastIndex || chunk.lastTerm() != this.lastTerm
				|| chunk.totalBytes() != this.buffer.length;
		if (differs) {
			begin(chunk);
		}
		if (chunk.offsetBytes() == this.receivedBytes) {
			copy(chunk);
		}
		if (this.receivedBytes < this.buffer.length) {
			this.state.sendAfterSync(from, new LogMessage.SnapshotChunkResponse(this.state.term(), chunk.lastIndex(),
					this.receivedBytes, chunk.readRound()));
			return;
		}
		this.state.install(new Snapshot(chunk.lastIndex(), chunk.lastTerm(), chunk.membership(), this.buffer));
		acknowledge(from, chunk);
		reset();
	}

	private boolean isAlreadyInLog(LogMessage.SnapshotChunk chunk) {
		if (chunk.lastIndex() <= this.state.commitIndex()) {
			return true;
		}
		EntryLog ownLog = this.state.entries();
		return ownLog.knowsTermAt(chunk.lastIndex()) && ownLog.termAt(chunk.lastIndex()) == chunk.lastTerm();
	}

	private void acknowledge(ReplicaId from, LogMessage.SnapshotChunk chunk) {
		this.state.sendAfterSync(from,
				new LogMessage.AppendResponse(this.state.term(), true, chunk.lastIndex(), 0, chunk.readRound()));
	}

	private void begin(LogMessage.SnapshotChunk chunk) {
		this.lastIndex = chunk.lastIndex();
		this.lastTerm = chunk.lastTerm();
		this.buffer = new byte[chunk.totalBytes()];
		this.receivedBytes = 0;
	}

	private void copy(LogMessage.SnapshotChunk chunk) {
		int length = Math.min(chunk.bytes().length, this.buffer.length - this.receivedBytes);
		System.arraycopy(chunk.bytes(), 0, this.buffer, this.receivedBytes, length);
		this.receivedBytes += length;
	}

	private void reset() {
		this.lastIndex = -1;
		this.lastTerm = -1;
		this.buffer = new byte[0];
		this.receivedBytes = 0;
	}

}
