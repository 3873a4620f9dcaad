package org.vanillatrestle.daemon.internal.gateway;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Cuts a stream of server-sent events into whole events and follows their ids over
 * several runs.
 * <p>
 * Invariants: what {@link #append} returns, put together, is a sequence of whole events
 * without repeats; no more than {@link #MAX_EVENT_BYTES} wait for the end of an event,
 * and each byte is searched once. Used on the VM's event loop.
 */
final class EventStreamAssembler {

	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	/**
	 * The longest event: the platform's events carry some ten tokens, a thousandth of
	 * this.
	 */
	static final int MAX_EVENT_BYTES = 64 * 1024;

	private final ByteBuf partial = Unpooled.buffer();

	private long lastId;

	private boolean gap;

	private boolean endless;

	/**
	 * How many bytes of the event that waits for its end were searched, and where its
	 * last line begins, both counted from its start.
	 */
	private int searched;

	private int lineStart;

	/**
	 * Creates a stream.
	 * @param lastId the last event that the caller has, -1 for none
	 */
	EventStreamAssembler(long lastId) {
		this.lastId = lastId;
	}

	long lastId() {
		return this.lastId;
	}

	/**
	 * Forgets a part of an event, as a new run follows.
	 */
	void beginAttempt() {
		this.partial.clear();
		this.searched = 0;
		this.lineStart = 0;
		this.endless = false;
	}

	/**
	 * Takes bytes of the stream.
	 * @param data the bytes; released
	 * @return the whole events that they complete, may be empty
	 */
	ByteBuf append(ByteBuf data) {
		this.partial.writeBytes(data);
		data.release();
		ByteBuf whole = Unpooled.buffer(this.partial.readableBytes());
		for (int end = endOfEvent(); end >= 0 && !this.gap; end = endOfEvent()) {
			ByteBuf event = this.partial.readSlice(end - this.partial.readerIndex());
			if (isNext(event)) {
				whole.writeBytes(event);
			}
		}
		this.partial.discardReadBytes();
		this.endless |= this.partial.readableBytes() > MAX_EVENT_BYTES;
		return whole;
	}

	/**
	 * Tells whether an event is longer than any event may be.
	 * @return whether the stream must be given up
	 */
	boolean isEventTooLong() {
		return this.endless;
	}

	/**
	 * Tells whether an event is missing between two runs.
	 * @return whether there is a gap
	 */
	boolean hasGap() {
		return this.gap;
	}

	/**
	 * Tells whether a part of an event waits for its rest.
	 * @return whether the stream stands in the middle of an event
	 */
	boolean hasPartialEvent() {
		return this.partial.isReadable();
	}

	private int endOfEvent() {
		int start = this.partial.readerIndex();
		while (start + this.searched < this.partial.writerIndex()) {
			int at = this.searched++;
			if (this.partial.getByte(start + at) != '\n') {
				continue;
			}
			int lineEnd = (at > this.lineStart && this.partial.getByte(start + at - 1) == '\r') ? at - 1 : at;
			if (lineEnd == this.lineStart) {
				this.searched = 0;
				this.lineStart = 0;
				return start + at + 1;
			}
			this.lineStart = at + 1;
		}
		return -1;
	}

	private boolean isNext(ByteBuf event) {
		long id = idOf(event);
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

	private static long idOf(ByteBuf event) {
		int start = event.readerIndex();
		while (start < event.writerIndex()) {
			int end = event.indexOf(start, event.writerIndex(), (byte) '\n');
			int stop = (end < 0) ? event.writerIndex() : end;
			if (startsWithId(event, start, stop)) {
				String text = event.toString(start + ID_FIELD.length, stop - start - ID_FIELD.length,
						StandardCharsets.US_ASCII);
				return parse(text.trim());
			}
			start = stop + 1;
		}
		return -1;
	}

	private static boolean startsWithId(ByteBuf event, int start, int stop) {
		if (stop - start < ID_FIELD.length) {
			return false;
		}
		for (int i = 0; i < ID_FIELD.length; i++) {
			if (event.getByte(start + i) != ID_FIELD[i]) {
				return false;
			}
		}
		return true;
	}

	private static long parse(String text) {
		if (text.isEmpty() || text.length() > 15 || !text.chars().allMatch(Character::isDigit)) {
			return -1;
		}
		return Long.parseLong(text);
	}

}
