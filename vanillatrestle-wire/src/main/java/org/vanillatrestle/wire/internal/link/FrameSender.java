package org.vanillatrestle.wire.internal.link;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Sends one direction of a stream piece by piece as credit and the link allow.
 * <p>
 * Not thread safe. Invariant: no more bytes are sent than the peer's limit; the queue
 * holds at most {@link #MAX_PENDING_BYTES} and one piece more.
 */
final class FrameSender {

	static final int MAX_PENDING_BYTES = 1024 * 1024;

	private final LinkWriter link;

	private final FrameOutput output;

	private final Runnable onWritable;

	private final int maxFrameBytes;

	private final Deque<Piece> pending = new ArrayDeque<>();

	private long pendingBytes;

	private long sentBytes;

	private long limitBytes;

	private int sequence;

	private boolean lastQueued;

	private boolean closed;

	private boolean waiting;

	FrameSender(LinkWriter link, FrameOutput output, Runnable onWritable, int limitBytes, int maxFrameBytes,
			int firstSequence) {
		this.link = link;
		this.output = output;
		this.onWritable = onWritable;
		this.limitBytes = limitBytes;
		this.maxFrameBytes = maxFrameBytes;
		this.sequence = firstSequence;
	}

	boolean isWritable() {
		if (this.closed || !this.pending.isEmpty() || this.sentBytes >= this.limitBytes) {
			return false;
		}
		if (!this.link.isWritable()) {
			waitForLink();
			return false;
		}
		return true;
	}

	void write(byte[] data, boolean last) {
		if (this.closed) {
			return;
		}
		if (this.lastQueued) {
			throw new IllegalStateException("The last piece has been written already.");
		}
		if (this.pendingBytes >= MAX_PENDING_BYTES) {
			throw new IllegalStateException("The writer ignored back pressure: " + this.pendingBytes
					+ " bytes wait for credit. Wait for the stream to be writable.");
		}
		this.lastQueued = last;
		this.pending.add(new Piece(data, last));
		this.pendingBytes += data.length;
		drain();
	}

	void limit(long newLimitBytes) {
		this.limitBytes = Math.max(this.limitBytes, newLimitBytes);
		resume();
	}

	void close() {
		this.closed = true;
		this.pending.clear();
		this.pendingBytes = 0;
	}

	private void resume() {
		drain();
		if (isWritable()) {
			this.onWritable.run();
		}
	}

	private void drain() {
		while (!this.closed && !this.pending.isEmpty()) {
			if (!this.link.isWritable()) {
				waitForLink();
				return;
			}
			if (!sendPart(this.pending.peek())) {
				return;
			}
		}
	}

	private void linkWritable() {
		this.waiting = false;
		resume();
	}

	private boolean sendPart(Piece piece) {
		int rest = piece.data.length - piece.offset;
		int size = (int) Math.min(Math.min(rest, this.maxFrameBytes), this.limitBytes - this.sentBytes);
		if (size == 0 && rest > 0) {
			return false;
		}
		int offset = piece.offset;
		piece.offset += size;
		this.sentBytes += size;
		this.pendingBytes -= size;
		boolean whole = piece.offset == piece.data.length;
		if (whole) {
			this.pending.remove();
		}
		this.output.send(this.sequence++, piece.data, offset, size, whole && piece.last);
		return true;
	}

	private void waitForLink() {
		if (!this.waiting) {
			this.waiting = true;
			this.link.whenWritable(this::linkWritable);
		}
	}

	/**
	 * Puts a frame on the link.
	 */
	interface FrameOutput {

		void send(int sequence, byte[] data, int offset, int size, boolean last);

	}

	/**
	 * A queued piece and how much of it was sent.
	 */
	private static final class Piece {

		private final byte[] data;

		private final boolean last;

		private int offset;

		Piece(byte[] data, boolean last) {
			this.data = data;
			this.last = last;
		}

	}

}
