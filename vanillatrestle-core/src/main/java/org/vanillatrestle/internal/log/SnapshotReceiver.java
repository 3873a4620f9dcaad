package org.vanillatrestle.internal.log;

/**
 * Puts a snapshot together from its parts.
 * <p>
 * Installs only a whole snapshot that is ahead of the own commit index; parts of another
 * snapshot or out of order are dropped. Not thread safe.
 */
final class SnapshotReceiver {

	private final LogState state;

	private long index = -1;

	private long term = -1;

	private byte[] bytes = new byte[0];

	private int received;

	SnapshotReceiver(LogState state) {
		this.state = state;
	}

	void onChunk(ReplicaId from, LogMessage.SnapshotChunk chunk) {
		if (isKnown(chunk)) {
			this.state.commitTo(Math.min(chunk.lastIndex(), this.state.entries().lastIndex()));
			accept(from, chunk);
			return;
		}
		boolean other = chunk.lastIndex() != this.index || chunk.lastTerm() != this.term
				|| chunk.totalBytes() != this.bytes.length;
		if (other) {
			begin(chunk);
		}
		if (chunk.offsetBytes() == this.received) {
			take(chunk);
		}
		if (this.received < this.bytes.length) {
			this.state.sendAfterSync(from, new LogMessage.SnapshotChunkResponse(this.state.term(), chunk.lastIndex(),
					this.received, chunk.round()));
			return;
		}
		this.state.install(new Snapshot(chunk.lastIndex(), chunk.lastTerm(), chunk.membership(), this.bytes));
		accept(from, chunk);
		forget();
	}

	private boolean isKnown(LogMessage.SnapshotChunk chunk) {
		if (chunk.lastIndex() <= this.state.commitIndex()) {
			return true;
		}
		EntryLog own = this.state.entries();
		return own.knowsTermAt(chunk.lastIndex()) && own.termAt(chunk.lastIndex()) == chunk.lastTerm();
	}

	private void accept(ReplicaId from, LogMessage.SnapshotChunk chunk) {
		this.state.sendAfterSync(from,
				new LogMessage.AppendResponse(this.state.term(), true, chunk.lastIndex(), 0, chunk.round()));
	}

	private void begin(LogMessage.SnapshotChunk chunk) {
		this.index = chunk.lastIndex();
		this.term = chunk.lastTerm();
		this.bytes = new byte[chunk.totalBytes()];
		this.received = 0;
	}

	private void take(LogMessage.SnapshotChunk chunk) {
		int length = Math.min(chunk.bytes().length, this.bytes.length - this.received);
		System.arraycopy(chunk.bytes(), 0, this.bytes, this.received, length);
		this.received += length;
	}

	private void forget() {
		this.index = -1;
		this.term = -1;
		this.bytes = new byte[0];
		this.received = 0;
	}

}
