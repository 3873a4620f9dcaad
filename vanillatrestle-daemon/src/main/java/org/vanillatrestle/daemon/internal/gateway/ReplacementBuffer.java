package org.vanillatrestle.daemon.internal.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.vanillatrestle.daemon.internal.http.BodyMemory;

/**
 * Buffers the answer of a replacement until it is certain that the answer is of use: the
 * first whole event of a stream that follows the last one sent, or all of any other
 * answer.
 * <p>
 * Invariant: the buffered bytes are reserved in the memory of all responses until they
 * are taken or the buffer is closed. Used only on the VM's event loop.
 */
final class ReplacementBuffer {

	private final BodyMemory memory;

	private final boolean streaming;

	private final EventStreamAssembler preview;

	private ByteBuf data = Unpooled.EMPTY_BUFFER;

	private int reservedBytes;

	private boolean usable;

	private boolean unusable;

	/**
	 * Creates an empty buffer.
	 * @param memory the memory of all responses
	 * @param streaming whether the answer is a stream
	 * @param lastEventId the id of the last event sent to the caller, -1 for none
	 */
	ReplacementBuffer(BodyMemory memory, boolean streaming, long lastEventId) {
		this.memory = memory;
		this.streaming = streaming;
		this.preview = new EventStreamAssembler(lastEventId);
	}

	/**
	 * Appends a part of the body.
	 * @param part the part; this method releases it
	 */
	void append(ByteBuf part) {
		int bytes = part.readableBytes();
		if (this.unusable || this.data.readableBytes() + bytes > ResponseRelay.MAX_RESPONSE_BYTES
				|| !this.memory.reserve(bytes)) {
			part.release();
			this.unusable = true;
			return;
		}
		this.reservedBytes += bytes;
		if (this.reservedBytes == bytes) {
			this.data = Unpooled.buffer(bytes);
		}
		this.data.writeBytes(part, part.readerIndex(), bytes);
		if (!this.streaming) {
			part.release();
			return;
		}
		this.usable |= this.preview.append(part).isReadable();
		this.unusable = this.preview.hasGap() || this.preview.isEventTooLong();
	}

	/**
	 * Checks whether the answer may replace the one in progress before it has ended.
	 * @return whether an event that the caller lacks is complete
	 */
	boolean hasNextEvent() {
		return this.usable && !this.unusable;
	}

	/**
	 * Checks whether the answer can't be used, as an event is missing or it is too long.
	 * @return whether the replacement must be abandoned
	 */
	boolean isUnusable() {
		return this.unusable;
	}

	/**
	 * Checks whether the answer, which has ended, is whole.
	 * @return whether it doesn't end in the middle of an event
	 */
	boolean isWhole() {
		return !this.unusable && !this.preview.hasPartialEvent();
	}

	/**
	 * Takes the buffered bytes and empties the buffer.
	 * @return the bytes, to be released by the caller
	 */
	ByteBuf take() {
		ByteBuf taken = this.data;
		close();
		return taken;
	}

	void close() {
		this.data = Unpooled.EMPTY_BUFFER;
		this.memory.release(this.reservedBytes);
		this.reservedBytes = 0;
	}

}
