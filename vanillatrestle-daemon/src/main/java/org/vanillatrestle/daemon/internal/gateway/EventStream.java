package org.vanillatrestle.daemon.internal.gateway;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Cuts a stream of server-sent events into whole events and follows their ids over
 * several runs.
 * <p>
 * Invariant: what {@link #take} returns, put together, is a sequence of whole events
 * without repeats. Used on the VM's event loop.
 */
final class EventStream {

	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	private final ByteBuf partial = Unpooled.buffer();

	private long lastId;

	private boolean gap;

	/**
	 * Creates a stream.
	 * @param lastId the last event that the caller has, -1 for none
	 */
	EventStream(long lastId) {
		this.lastId = lastId;
	}

	long lastId() {
		return this.lastId;
	}

	/**
	 * Forgets a part of an event, as a new run follows.
	 */
	void beginRun() {
		this.partial.clear();
	}

	/**
	 * Takes bytes of the stream.
	 * @param data the bytes; released
	 * @return the whole events that they complete, may be empty
	 */
	ByteBuf take(ByteBuf data) {
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
		return whole;
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
	boolean isInEvent() {
		return this.partial.isReadable();
	}

	private int endOfEvent() {
		int lineStart = this.partial.readerIndex();
		for (int i = lineStart; i < this.partial.writerIndex(); i++) {
			if (this.partial.getByte(i) != '\n') {
				continue;
			}
			int lineEnd = (i > lineStart && this.partial.getByte(i - 1) == '\r') ? i - 1 : i;
			if (lineEnd == lineStart) {
				return i + 1;
			}
			lineStart = i + 1;
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
