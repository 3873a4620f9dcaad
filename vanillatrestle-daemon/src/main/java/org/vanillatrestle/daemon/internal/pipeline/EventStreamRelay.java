package org.vanillatrestle.daemon.internal.pipeline;

import java.nio.charset.StandardCharsets;
import java.util.function.LongSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Relays a stream of server-sent events. Only complete events are relayed. An event whose
 * data is neither JSON nor the end marker is not relayed. Events are counted, so that a
 * broken stream can be resumed after the last event that the caller has received.
 * <p>
 * A stream is complete only if it contained the end marker {@code [DONE]} and did not
 * stop within an event. Used on the VM's event loop.
 */
final class EventStreamRelay implements AnswerRelay {

	private static final String DATA_FIELD_PREFIX = "data:";

	private static final String DONE_MARKER = "[DONE]";

	private static final int MAX_EVENT_BYTES = 1024 * 1024;

	private final Exchange exchange;

	private final LongSupplier clockNanos;

	private ByteBuf pending = Unpooled.EMPTY_BUFFER;

	private AnswerHead head;

	private boolean headSent;

	private boolean doneMarkerSeen;

	private boolean malformedEventSeen;

	private int deliveredEvents;

	EventStreamRelay(Exchange exchange, LongSupplier clockNanos) {
		this.exchange = exchange;
		this.clockNanos = clockNanos;
		this.deliveredEvents = exchange.initialEventOffset();
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
			startAnswer();
			this.exchange.answerPart(this.pending.readRetainedSlice(end));
		}
		if (!this.pending.isReadable()) {
			reset();
		}
		else {
			compact();
		}
	}

	private void startAnswer() {
		if (!this.headSent) {
			this.headSent = true;
			this.exchange.answerHead(this.head, this.clockNanos.getAsLong());
		}
	}

	private ByteBuf replacePending(ByteBuf data) {
		this.pending.release();
		return data;
	}

	private void compact() {
		ByteBuf remaining = Unpooled.copiedBuffer(this.pending);
		this.pending.release();
		this.pending = remaining;
	}

	/**
	 * Counts the complete, well-formed events in the pending bytes.
	 * @return the number of bytes up to the end of the last such event
	 */
	private int endOfLastEvent() {
		int start = this.pending.readerIndex();
		int endIndex = this.pending.writerIndex();
		int eventStart = start;
		int i = start;
		while (i < endIndex) {
			int blankLineEnd = (this.pending.getByte(i) == '\n') ? blankLineEnd(i + 1, endIndex) : -1;
			if (blankLineEnd < 0) {
				i++;
				continue;
			}
			countEvent(this.pending.toString(eventStart, i - eventStart, StandardCharsets.UTF_8).trim());
			if (this.malformedEventSeen) {
				break;
			}
			eventStart = blankLineEnd;
			i = blankLineEnd;
		}
		return eventStart - start;
	}

	private int blankLineEnd(int index, int endIndex) {
		if (index < endIndex && this.pending.getByte(index) == '\n') {
			return index + 1;
		}
		boolean crLf = index + 1 < endIndex && this.pending.getByte(index) == '\r'
				&& this.pending.getByte(index + 1) == '\n';
		return crLf ? index + 2 : -1;
	}

	private void countEvent(String event) {
		if (!event.startsWith(DATA_FIELD_PREFIX)) {
			return;
		}
		if (DONE_MARKER.equals(event.substring(DATA_FIELD_PREFIX.length()).trim())) {
			this.doneMarkerSeen = true;
			return;
		}
		if (!JsonCheck
			.isCompleteDocument(event.substring(DATA_FIELD_PREFIX.length()).getBytes(StandardCharsets.UTF_8))) {
			this.malformedEventSeen = true;
			return;
		}
		this.deliveredEvents++;
	}

	@Override
	public boolean end() {
		boolean complete = this.doneMarkerSeen && !this.pending.isReadable();
		reset();
		if (complete) {
			this.exchange.answerEnd();
		}
		return complete;
	}

	@Override
	public void reset() {
		this.pending.release();
		this.pending = Unpooled.EMPTY_BUFFER;
		this.malformedEventSeen = false;
	}

	/**
	 * Returns whether the data of an event is not JSON. That event was not relayed.
	 * @return whether the attempt must be cancelled
	 */
	boolean hasMalformedEvent() {
		return this.malformedEventSeen;
	}

	/**
	 * Returns whether an incomplete event is larger than {@code MAX_EVENT_BYTES}.
	 * @return whether the attempt must be cancelled
	 */
	boolean hasOversizedEvent() {
		return this.pending.readableBytes() > MAX_EVENT_BYTES;
	}

	@Override
	public int resumeOffset() {
		return this.doneMarkerSeen ? -1 : this.deliveredEvents;
	}

	@Override
	public int relayedTokens() {
		return this.deliveredEvents;
	}

}
