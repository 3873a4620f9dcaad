package org.vanillatrestle.daemon.internal.pipeline;

import java.nio.charset.StandardCharsets;
import java.util.function.LongSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Hands on a stream of server-sent events, whole events with JSON only, and counts them,
 * so that a broken stream can be resumed at its offset.
 * <p>
 * The stream is whole only if its last event was {@code [DONE]}. Used on the VM's event
 * loop.
 */
final class EventStreamRelay implements AnswerRelay {

	private static final String DATA = "data:";

	private static final String DONE = "[DONE]";

	private static final int MAX_EVENT_BYTES = 1024 * 1024;

	private final Exchange exchange;

	private final LongSupplier clockNanos;

	private ByteBuf pending = Unpooled.EMPTY_BUFFER;

	private AnswerHead head;

	private boolean started;

	private boolean done;

	private boolean malformed;

	private int delivered;

	EventStreamRelay(Exchange exchange, LongSupplier clockNanos) {
		this.exchange = exchange;
		this.clockNanos = clockNanos;
		this.delivered = exchange.initialOffset();
	}

	@Override
	public void head(AnswerHead newHead) {
		this.head = newHead;
	}

	@Override
	public void body(ByteBuf data) {
		this.pending = this.pending.isReadable() ? Unpooled.wrappedBuffer(this.pending, data) : replacePending(data);
		int end = endOfLastEvent();
		if (end > 0) {
			start();
			this.exchange.answerPart(this.pending.readRetainedSlice(end));
		}
		if (!this.pending.isReadable()) {
			reset();
		}
		else {
			compact();
		}
	}

	private void start() {
		if (!this.started) {
			this.started = true;
			this.exchange.answerHead(this.head, this.clockNanos.getAsLong());
		}
	}

	private ByteBuf replacePending(ByteBuf data) {
		this.pending.release();
		return data;
	}

	private void compact() {
		ByteBuf rest = Unpooled.copiedBuffer(this.pending);
		this.pending.release();
		this.pending = rest;
	}

	/**
	 * Counts the complete events in the pending bytes.
	 * @return the number of bytes up to the end of the last complete event
	 */
	private int endOfLastEvent() {
		int start = this.pending.readerIndex();
		int limit = this.pending.writerIndex();
		int from = start;
		int i = start;
		while (i < limit) {
			int blankLineEnd = (this.pending.getByte(i) == '\n') ? blankLineEnd(i + 1, limit) : -1;
			if (blankLineEnd < 0) {
				i++;
				continue;
			}
			countEvent(this.pending.toString(from, i - from, StandardCharsets.UTF_8).trim());
			if (this.malformed) {
				break;
			}
			from = blankLineEnd;
			i = blankLineEnd;
		}
		return from - start;
	}

	private int blankLineEnd(int index, int limit) {
		if (index < limit && this.pending.getByte(index) == '\n') {
			return index + 1;
		}
		boolean crLf = index + 1 < limit && this.pending.getByte(index) == '\r'
				&& this.pending.getByte(index + 1) == '\n';
		return crLf ? index + 2 : -1;
	}

	private void countEvent(String event) {
		if (!event.startsWith(DATA)) {
			return;
		}
		if (DONE.equals(event.substring(DATA.length()).trim())) {
			this.done = true;
			return;
		}
		if (!JsonCheck.isWhole(event.substring(DATA.length()).getBytes(StandardCharsets.UTF_8))) {
			this.malformed = true;
			return;
		}
		this.delivered++;
	}

	@Override
	public boolean end() {
		boolean whole = this.done && !this.pending.isReadable();
		reset();
		if (whole) {
			this.exchange.answerEnd();
		}
		return whole;
	}

	@Override
	public void reset() {
		this.pending.release();
		this.pending = Unpooled.EMPTY_BUFFER;
		this.malformed = false;
	}

	/**
	 * Tells whether an event is not JSON. It was not handed on.
	 * @return whether the stream must be given up
	 */
	boolean isMalformed() {
		return this.malformed;
	}

	/**
	 * Tells whether a single event has grown beyond the bound.
	 * @return whether the stream must be given up
	 */
	boolean isOverlong() {
		return this.pending.readableBytes() > MAX_EVENT_BYTES;
	}

	@Override
	public int resumeOffset() {
		return this.done ? -1 : this.delivered;
	}

	@Override
	public int tokens() {
		return this.delivered;
	}

}
