package org.vanillatrestle.bench.internal.peer;

/**
 * Counts what one simulated VM sends and receives.
 * <p>
 * Not thread safe. Each message counts with its payload, its place in an envelope, the
 * headers of IP and TCP with timestamps, and an acknowledgement the other way.
 */
final class Traffic {

	private static final int ENVELOPE_BYTES = 12;

	private static final int PACKET_BYTES = 52;

	private long bytes;

	private long messages;

	void sent(int payloadBytes) {
		count(payloadBytes);
	}

	void received(int payloadBytes) {
		count(payloadBytes);
	}

	void reset() {
		this.bytes = 0;
		this.messages = 0;
	}

	long bytes() {
		return this.bytes;
	}

	long messages() {
		return this.messages;
	}

	private void count(int payloadBytes) {
		this.bytes += payloadBytes + ENVELOPE_BYTES + 2 * PACKET_BYTES;
		this.messages++;
	}

}
