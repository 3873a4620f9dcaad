package org.vanillatrestle.daemon.internal.gateway;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Splits a stream of server-sent events into complete events and tracks their ids across
 * several attempts.
 * <p>
 * Invariants: the concatenated results of {@link #append} are a sequence of complete
 * events without duplicates. At most {@link #MAX_EVENT_BYTES} of an incomplete event are
 * buffered, and each byte is searched once. Used only on the VM's event loop.
 */
final class EventStreamAssembler {

	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	/**
	 * Maximum size of an event. The platform's events carry about ten tokens, a
	 * thousandth of this.
	 */
	static final int MAX_EVENT_BYTES = 64 * 1024;

	private final ByteBuf partial = Unpooled.buffer();

	private long lastId;

	private boolean gap;

	private boolean eventTooLong;

	/**
	 * Number of bytes of the incomplete event that were searched for its end.
	 */
	private int searchedBytes;

	/**
	 * Offset of the last line of the incomplete event from the start of the event.
	 */
	private int lastLineStart;

	/**
	 * Creates an assembler.
	 * @param lastId the id of the last event that the caller has received, -1 for none
	 */
	EventStreamAssembler(long lastId) {
		this.lastId = lastId;
	}

	long lastId() {
		return this.lastId;
	}

	/**
	 * Discards an incomplete event and a gap at the start of a new attempt.
	 */
	void beginAttempt() {
		this.gap = false;
		this.partial.clear();
		this.searchedBytes = 0;
		this.lastLineStart = 0;
		this.eventTooLong = false;
	}

	/**
	 * Appends data of the stream.
	 * @param data the data; this method releases it
	 * @return the events completed by the data, may be empty
	 */
	ByteBuf append(ByteBuf data) {
		this.partial.writeBytes(data);
		data.release();
		ByteBuf completeEvents = Unpooled.buffer(this.partial.readableBytes());
		for (int end = findEventEnd(); end >= 0 && !this.gap; end = findEventEnd()) {
			ByteBuf event = this.partial.readSlice(end - this.partial.readerIndex());
			if (isNextEvent(event)) {
				completeEvents.writeBytes(event);
			}
		}
		this.partial.discardReadBytes();
		this.eventTooLong |= this.partial.readableBytes() > MAX_EVENT_BYTES;
		return completeEvents;
	}

	/**
	 * Checks whether an incomplete event exceeds {@link #MAX_EVENT_BYTES}.
	 * @return whether the stream must be abandoned
	 */
	boolean isEventTooLong() {
		return this.eventTooLong;
	}

	/**
	 * Checks whether an event is missing in the sequence of ids.
	 * @return whether there is a gap
	 */
	boolean hasGap() {
		return this.gap;
	}

	/**
	 * Checks whether an incomplete event is buffered.
	 * @return whether the data received so far ends in the middle of an event
	 */
	boolean hasPartialEvent() {
		return this.partial.isReadable();
	}

	private int findEventEnd() {
		int start = this.partial.readerIndex();
		while (start + this.searchedBytes < this.partial.writerIndex()) {
			int offset = this.searchedBytes++;
			if (this.partial.getByte(start + offset) != '\n') {
				continue;
			}
			int contentEnd = (offset > this.lastLineStart && this.partial.getByte(start + offset - 1) == '\r')
					? offset - 1 : offset;
			if (contentEnd == this.lastLineStart) {
				this.searchedBytes = 0;
				this.lastLineStart = 0;
				return start + offset + 1;
			}
			this.lastLineStart = offset + 1;
		}
		return -1;
	}

	private boolean isNextEvent(ByteBuf event) {
		long id = eventId(event);
		if (id < 0) {
			return true;
		}
		if (this.lastId >= 0 && id <= this.lastId) {
			return false;
		}
		if (this.lastId >= 0 && id != this.lastId + 1) {
			this.gap = true;
			return false;
		}
		this.lastId = id;
		return true;
	}

	private static long eventId(ByteBuf event) {
		int start = event.readerIndex();
		while (start < event.writerIndex()) {
			int end = event.indexOf(start, event.writerIndex(), (byte) '\n');
			int lineEnd = (end < 0) ? event.writerIndex() : end;
			if (hasIdField(event, start, lineEnd)) {
				String text = event.toString(start + ID_FIELD.length, lineEnd - start - ID_FIELD.length,
						StandardCharsets.US_ASCII);
				return parseId(text.trim());
			}
			start = lineEnd + 1;
		}
		return -1;
	}

	private static boolean hasIdField(ByteBuf event, int start, int lineEnd) {
		if (lineEnd - start < ID_FIELD.length) {
			return false;
		}
		for (int i = 0; i < ID_FIELD.length; i++) {
			if (event.getByte(start + i) != ID_FIELD[i]) {
				return false;
			}
		}
		return true;
	}

	private static long parseId(String text) {
		if (text.isEmpty() || text.length() > 15 || !text.chars().allMatch(Character::isDigit)) {
			return -1;
		}
		return Long.parseLong(text);
	}

}
