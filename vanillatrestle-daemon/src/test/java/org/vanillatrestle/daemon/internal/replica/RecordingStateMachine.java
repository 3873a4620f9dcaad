package org.vanillatrestle.daemon.internal.replica;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import org.vanillatrestle.internal.log.StateMachine;

/**
 * A state machine that records the applied commands in a list and can block while it
 * applies one. The list may be read by any thread.
 */
final class RecordingStateMachine implements StateMachine {

	private final List<String> commands = new ArrayList<>();

	private volatile CountDownLatch release;

	private volatile boolean blocked;

	void blockNextApply(CountDownLatch releaseLatch) {
		this.release = releaseLatch;
	}

	boolean isBlocked() {
		return this.blocked;
	}

	private void awaitRelease() {
		CountDownLatch latch = this.release;
		this.release = null;
		if (latch == null) {
			return;
		}
		this.blocked = true;
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Override
	public byte[] apply(long index, byte[] command) {
		awaitRelease();
		return add(command);
	}

	private synchronized byte[] add(byte[] command) {
		this.commands.add(new String(command, StandardCharsets.US_ASCII));
		return command;
	}

	@Override
	public synchronized byte[] snapshot() {
		return String.join(",", this.commands).getBytes(StandardCharsets.US_ASCII);
	}

	@Override
	public synchronized void restore(long index, byte[] snapshot) {
		this.commands.clear();
		this.commands.addAll(List.of(new String(snapshot, StandardCharsets.US_ASCII).split(",")));
	}

	synchronized List<String> commands() {
		return List.copyOf(this.commands);
	}

}
