package org.vanillatrestle.daemon.internal.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.vanillatrestle.daemon.internal.http.BodyMemory;
import org.vanillatrestle.daemon.internal.pipeline.AnswerHead;
import org.vanillatrestle.daemon.internal.pipeline.AnswerSink;
import org.vanillatrestle.daemon.internal.settings.HttpLimits;

/**
 * Relays the response of one or several attempts to the caller: a stream event by event,
 * any other response in one piece when it is complete.
 * <p>
 * Invariants: except for complete events of a stream, no part of a response is sent
 * before it is certain that this response is the one to deliver. At most
 * {@link #MAX_RESPONSE_BYTES} of a response are buffered. Used only on the VM's event
 * loop.
 */
final class ResponseRelay {

	/**
	 * Maximum size of a response that is not a stream, equal to the maximum size of a
	 * request ({@code max-body-bytes} on the platform).
	 */
	static final int MAX_RESPONSE_BYTES = HttpLimits.DEFAULT.maxBodyBytes();

	private final AnswerSink sink;

	private final BodyMemory memory;

	private int reservedBytes;

	private boolean bodyTooLong;

	private final boolean streaming;

	private final EventStreamAssembler events;

	private AnswerHead head;

	private ByteBuf body = Unpooled.EMPTY_BUFFER;

	private AnswerHead storedHead;

	private byte[] storedBody;

	private boolean started;

	ResponseRelay(AnswerSink sink, boolean streaming, long resumeAfterEvent, BodyMemory memory) {
		this.sink = sink;
		this.memory = memory;
		this.streaming = streaming;
		this.events = new EventStreamAssembler(resumeAfterEvent);
	}

	/**
	 * Starts the response of a new attempt and discards unsent data of the previous one.
	 * @param newHead status and headers
	 */
	void head(AnswerHead newHead) {
		this.head = newHead;
		this.body = Unpooled.buffer();
		this.bodyTooLong = false;
		releaseMemory();
		this.events.beginAttempt();
	}

	private boolean isStream() {
		return this.streaming && this.head.status() / 100 == 2;
	}

	/**
	 * Processes a part of the body.
	 * @param data the part; this method releases it
	 * @return whether this sent a part of a stream to the caller
	 */
	boolean body(ByteBuf data) {
		if (!isStream()) {
			bufferBody(data);
			return false;
		}
		ByteBuf completeEvents = this.events.append(data);
		if (!completeEvents.isReadable()) {
			return false;
		}
		start();
		this.sink.body(completeEvents);
		return true;
	}

	private void bufferBody(ByteBuf data) {
		int bytes = data.readableBytes();
		boolean fits = !this.bodyTooLong && this.body.readableBytes() + bytes <= MAX_RESPONSE_BYTES
				&& this.memory.reserve(bytes);
		if (fits) {
			this.reservedBytes += bytes;
			this.body.writeBytes(data);
		}
		else {
			this.bodyTooLong = true;
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
	 * Checks whether the response or one of its events exceeds its maximum size, or the
	 * response exceeds the memory available to all responses together.
	 * @return whether the response must be abandoned
	 */
	boolean isTooLong() {
		return this.bodyTooLong || this.events.isEventTooLong();
	}

	/**
	 * Releases the memory of a response that is no longer needed.
	 */
	void close() {
		this.body = Unpooled.EMPTY_BUFFER;
		releaseMemory();
	}

	private void start() {
		if (!this.started) {
			this.started = true;
			this.sink.head(this.head);
		}
	}

	/**
	 * Checks whether the stream can't be continued because an event is missing.
	 * @return whether an event is missing
	 */
	boolean hasGap() {
		return this.events.hasGap();
	}

	/**
	 * Completes the response and delivers it.
	 * @return {@code false} if the stream ended in the middle of an event
	 */
	boolean end() {
		if (!isStream()) {
			this.sink.answer(this.head, copyBody());
			return true;
		}
		if (this.events.hasPartialEvent()) {
			return false;
		}
		start();
		this.sink.end();
		return true;
	}

	private byte[] copyBody() {
		byte[] bytes = new byte[this.body.readableBytes()];
		this.body.getBytes(this.body.readerIndex(), bytes);
		return bytes;
	}

	/**
	 * Stores the response of an attempt, to be delivered if no later attempt produces a
	 * better one.
	 */
	void storeResponse() {
		this.storedHead = this.head;
		this.storedBody = copyBody();
	}

	boolean hasStoredResponse() {
		return this.storedHead != null;
	}

	/**
	 * Breaks off a stream that was started, or else delivers the stored response.
	 * @return {@code false} if there is neither
	 */
	boolean endIncomplete() {
		if (this.started) {
			this.sink.abort();
		}
		else if (hasStoredResponse()) {
			this.sink.answer(this.storedHead, this.storedBody);
		}
		return this.started || hasStoredResponse();
	}

	/**
	 * Checks whether a part of a stream was sent to the caller.
	 * @return whether the response can no longer be replaced
	 */
	boolean isStarted() {
		return this.started;
	}

	long lastEventId() {
		return this.events.lastId();
	}

}
