package org.vanillatrestle.wire.internal.link;

import org.vanillatrestle.wire.generated.peer.StreamKey;

/**
 * Decides which frames belong to an attempt and come next.
 * <p>
 * Deterministic, not thread safe. Invariant: frames are accepted with ascending sequence
 * numbers without gaps, all of one attempt of one request.
 */
public final class FrameSequencer {

	private final StreamKey key;

	private int next;

	/**
	 * Creates a sequencer that expects sequence number 0.
	 * @param key the stream, the request and the attempt
	 */
	public FrameSequencer(StreamKey key) {
		this.key = key;
	}

	/**
	 * Tells whether a message belongs to this attempt.
	 * @param messageKey the stream, request and attempt named by the message
	 * @return {@code false} if the message must be dropped
	 */
	public boolean isOwn(StreamKey messageKey) {
		return this.key.equals(messageKey);
	}

	/**
	 * Takes the next frame.
	 * @param frameKey the stream, request and attempt named by the frame
	 * @param sequence the frame's sequence number
	 * @return what to do with the frame
	 */
	public Outcome accept(StreamKey frameKey, int sequence) {
		if (!isOwn(frameKey)) {
			return Outcome.FOREIGN;
		}
		if (sequence < this.next) {
			return Outcome.REPEATED;
		}
		if (sequence > this.next) {
			return Outcome.GAP;
		}
		this.next++;
		return Outcome.IN_ORDER;
	}

	/**
	 * What to do with a frame.
	 */
	public enum Outcome {

		/**
		 * The frame is the next one.
		 */
		IN_ORDER,

		/**
		 * The frame is late or doubled: drop it.
		 */
		REPEATED,

		/**
		 * The frame belongs to another attempt: drop it.
		 */
		FOREIGN,

		/**
		 * A frame before this one is missing: the attempt fails.
		 */
		GAP

	}

}
