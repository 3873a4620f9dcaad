package org.vanillatrestle.wire;

/**
 * Limits and times of a VM's links.
 * <p>
 * Immutable and thread safe. All values are above zero.
 *
 * @param maxMessageBytes the longest message accepted or sent
 * @param streamWindowBytes how much of a stream this VM holds before it must be consumed
 * @param maxFrameBytes the longest piece of a stream in one message
 * @param maxStreams the most streams that a peer may have open on one link
 * @param maxCalls the most unanswered calls on one link, each way
 * @param backlogBytes unsent bytes of a link above which it takes no more
 * @param pingIntervalMillis silence after which the peer is asked for a sign of life
 * @param linkTimeoutMillis silence after which the link is closed
 * @param connectTimeoutMillis time to set up a link, with TLS and hello
 * @param minBackoffMillis the first pause between attempts to connect
 * @param maxBackoffMillis the longest pause between attempts to connect
 * @param cancelTimeoutMillis how long a cancelled stream waits for the holder's answer
 */
public record PeerSettings(int maxMessageBytes, int streamWindowBytes, int maxFrameBytes, int maxStreams, int maxCalls,
		int backlogBytes, int pingIntervalMillis, int linkTimeoutMillis, int connectTimeoutMillis, int minBackoffMillis,
		int maxBackoffMillis, int cancelTimeoutMillis) {

	private static final int KIB = 1024;

	private static final int OVERHEAD_BYTES = 4 * KIB;

	public PeerSettings {
		if (maxFrameBytes > maxMessageBytes - OVERHEAD_BYTES) {
			throw new IllegalArgumentException("maxFrameBytes must be at least " + OVERHEAD_BYTES
					+ " below maxMessageBytes, but they are " + maxFrameBytes + " and " + maxMessageBytes + ".");
		}
		if (pingIntervalMillis >= linkTimeoutMillis) {
			throw new IllegalArgumentException("pingIntervalMillis must be below linkTimeoutMillis, but they are "
					+ pingIntervalMillis + " and " + linkTimeoutMillis + ".");
		}
	}

	/**
	 * Returns the settings used where a daemon's settings say nothing.
	 * @return the defaults
	 */
	public static PeerSettings defaults() {
		return new PeerSettings(KIB * KIB, 64 * KIB, 16 * KIB, 4096, 1024, KIB * KIB, 5_000, 12_000, 3_000, 100, 5_000,
				2_000);
	}

	/**
	 * Returns the longest payload of a datagram, call or reply.
	 * @return the limit in bytes
	 */
	public int maxPayloadBytes() {
		return this.maxMessageBytes - OVERHEAD_BYTES;
	}

}
