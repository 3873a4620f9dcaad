package org.vanillatrestle.daemon.internal.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.vanillatrestle.daemon.internal.http.BodyMemory;
import org.vanillatrestle.daemon.internal.pipeline.AnswerHead;
import org.vanillatrestle.daemon.internal.pipeline.AnswerSink;
import org.vanillatrestle.daemon.internal.settings.HttpLimits;

/**
 * Hands the answer of one or several attempts on to the caller: a stream by whole events,
 * anything else at its end.
 * <p>
 * Invariants: nothing of an answer is sent before it is known to be delivered, but for
 * whole events of a stream; no more than {@link #MAX_RESPONSE_BYTES} of an answer are
 * kept. Used on the VM's event loop.
 */
final class ResponseRelay {

	/**
	 * The longest answer that is no stream: as long as the longest request
	 * ({@code max-body-bytes} on the platform).
	 */
	static final int MAX_RESPONSE_BYTES = HttpLimits.DEFAULT.maxBodyBytes();

	private final AnswerSink sink;

	private final BodyMemory memory;

	private int reservedBytes;

	private boolean tooLong;

	private final boolean streaming;

	private final EventStreamAssembler events;

	private AnswerHead head;

	private ByteBuf body = Unpooled.EMPTY_BUFFER;

	private AnswerHead keptHead;

	private byte[] keptBody;

	private boolean begun;

	ResponseRelay(AnswerSink sink, boolean streaming, long resumeAfterEvent, BodyMemory memory) {
		this.sink = sink;
		this.memory = memory;
		this.streaming = streaming;
		this.events = new EventStreamAssembler(resumeAfterEvent);
	}

	/**
	 * Begins the answer of an attempt.
	 * @param newHead status and headers
	 */
	void head(AnswerHead newHead) {
		this.head = newHead;
		this.body = Unpooled.buffer();
		this.tooLong = false;
		releaseMemory();
		this.events.beginAttempt();
	}

	private boolean isStream() {
		return this.streaming && this.head.status() / 100 == 2;
	}

	/**
	 * Takes a part of the body.
	 * @param data the part; released
	 * @return whether the caller was sent a part of a stream by this
	 */
	boolean body(ByteBuf data) {
		if (!isStream()) {
			keepBytes(data);
			return false;
		}
		ByteBuf whole = this.events.append(data);
		if (!whole.isReadable()) {
			return false;
		}
		begin();
		this.sink.body(whole);
		return true;
	}

	private void keepBytes(ByteBuf data) {
		int bytes = data.readableBytes();
		boolean fits = !this.tooLong && this.body.readableBytes() + bytes <= MAX_RESPONSE_BYTES
				&& this.memory.reserve(bytes);
		if (fits) {
			this.reservedBytes += bytes;
			this.body.writeBytes(data);
		}
		else {
			this.tooLong = true;
			this.body = Unpooled.EMPTY_BUFFER;
			releaseMemory();
		}
		data.release();
	}

	private void releaseMemory() {
		this.memory.release(this.reservedBytes);
		this.reservedBytes = 0;
	}

	/**
	 * Tells whether the answer, or an event of it, is longer than any may be, or longer
	 * than what all answers together may take.
	 * @return whether it must be given up
	 */
	boolean isTooLong() {
		return this.tooLong || this.events.isEventTooLong();
	}

	/**
	 * Gives back the memory of an answer that is not needed any more.
	 */
	void close() {
		this.body = Unpooled.EMPTY_BUFFER;
		releaseMemory();
	}

	private void begin() {
		if (!this.begun) {
			this.begun = true;
			this.sink.head(this.head);
		}
	}

	/**
	 * Tells whether the stream has broken where it can't go on.
	 * @return whether an event is missing
	 */
	boolean hasGap() {
		return this.events.hasGap();
	}

	/**
	 * Delivers the answer, whose end has come.
	 * @return false if the stream ends in the middle of an event
	 */
	boolean end() {
		if (!isStream()) {
			this.sink.whole(this.head, bytes());
			return true;
		}
		if (this.events.hasPartialEvent()) {
			return false;
		}
		begin();
		this.sink.end();
		return true;
	}

	private byte[] bytes() {
		byte[] bytes = new byte[this.body.readableBytes()];
		this.body.getBytes(this.body.readerIndex(), bytes);
		return bytes;
	}

	/**
	 * Keeps the answer of an attempt, to be delivered if no other attempt has a better
	 * one.
	 */
	void storeResponse() {
		this.keptHead = this.head;
		this.keptBody = bytes();
	}

	boolean hasStoredResponse() {
		return this.keptHead != null;
	}

	void deliverStoredResponse() {
		this.sink.whole(this.keptHead, this.keptBody);
	}

	/**
	 * Tells whether a part of a stream was sent to the caller.
	 * @return whether the answer can't be replaced any more
	 */
	boolean isStarted() {
		return this.begun;
	}

	long lastEventId() {
		return this.events.lastId();
	}

}
