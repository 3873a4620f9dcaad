package org.vanillatrestle.bench.internal.log;

import java.nio.ByteBuffer;

import org.vanillatrestle.internal.log.StateMachine;

/**
 * The smallest state machine: counts its commands. Used by one thread.
 */
final class CountingMachine implements StateMachine {

	private long count;

	@Override
	public byte[] apply(long index, byte[] command) {
		this.count++;
		return new byte[0];
	}

	@Override
	public byte[] snapshot() {
		return ByteBuffer.allocate(Long.BYTES).putLong(this.count).array();
	}

	@Override
	public void restore(long index, byte[] snapshot) {
		this.count = ByteBuffer.wrap(snapshot).getLong();
	}

}
