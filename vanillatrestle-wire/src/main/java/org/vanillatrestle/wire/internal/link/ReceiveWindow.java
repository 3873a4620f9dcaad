package org.vanillatrestle.wire.internal.link;

/**
 * Counts how much of a stream the peer may still send.
 * <p>
 * Deterministic, not thread safe. Invariant: received bytes that nobody consumed never
 * exceed the window. Limits are cumulative, so that they may be lost or doubled.
 */
final class ReceiveWindow {

	private final long windowBytes;

	private long receivedBytes;

	private long consumedBytes;

	private long grantedBytes;

	ReceiveWindow(int windowBytes) {
		this.windowBytes = windowBytes;
		this.grantedBytes = windowBytes;
	}

	boolean receive(int bytes) {
		this.receivedBytes += bytes;
		return this.receivedBytes <= this.grantedBytes;
	}

	/**
	 * Notes that bytes were passed on.
	 * @param bytes the number of bytes
	 * @return whether a new limit should be sent
	 */
	boolean consume(int bytes) {
		this.consumedBytes = Math.min(this.consumedBytes + Math.max(bytes, 0), this.receivedBytes);
		return this.consumedBytes + this.windowBytes - this.grantedBytes >= this.windowBytes / 2;
	}

	long grant() {
		this.grantedBytes = this.consumedBytes + this.windowBytes;
		return this.grantedBytes;
	}

}
