package org.vanillatrestle.daemon.internal.http;

/**
 * Limits the memory, in bytes, that request or answer bodies may occupy together.
 * <p>
 * Must be called on the VM's event loop. The number of bytes in use is never negative and
 * never exceeds the limit.
 */
public final class BodyMemory {

	private final long maxBytes;

	private long usedBytes;

	public BodyMemory(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	/**
	 * Reserves memory if the limit allows it.
	 * @param bytes the number of bytes to reserve
	 * @return whether the memory was reserved
	 */
	public boolean reserve(int bytes) {
		if (this.usedBytes + bytes > this.maxBytes) {
			return false;
		}
		this.usedBytes += bytes;
		return true;
	}

	/**
	 * Releases reserved memory.
	 * @param bytes the number of bytes to release
	 */
	public void release(int bytes) {
		this.usedBytes -= bytes;
	}

	/**
	 * Returns the amount of reserved memory.
	 * @return the number of bytes in use
	 */
	public long usedBytes() {
		return this.usedBytes;
	}

}
