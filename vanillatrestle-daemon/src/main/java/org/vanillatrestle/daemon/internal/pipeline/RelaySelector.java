package org.vanillatrestle.daemon.internal.pipeline;

import java.util.function.LongSupplier;

import io.netty.handler.codec.http.HttpHeaderNames;

/**
 * Chooses how an answer is relayed, and keeps the relay of a stream over its attempts.
 * <p>
 * Used on the VM's event loop.
 */
final class RelaySelector {

	private static final int MAX_BUFFERED_BYTES = 64 * 1024;

	private static final String EVENT_STREAM = "text/event-stream";

	private final Exchange exchange;

	private final LongSupplier clockNanos;

	private AnswerRelay relay;

	RelaySelector(Exchange exchange, LongSupplier clockNanos) {
		this.exchange = exchange;
		this.clockNanos = clockNanos;
	}

	AnswerRelay select(AnswerHead head) {
		if (this.relay != null && this.relay.resumeOffset() > 0) {
			return this.relay;
		}
		String type = head.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
		boolean stream = head.status() == 200 && this.exchange.call().stream() && type.startsWith(EVENT_STREAM);
		this.relay = stream ? newStreamRelay() : new BufferedRelay(this.exchange, this.clockNanos, bufferBytes());
		return this.relay;
	}

	private AnswerRelay newStreamRelay() {
		return (this.relay instanceof EventStreamRelay) ? this.relay
				: new EventStreamRelay(this.exchange, this.clockNanos);
	}

	private int bufferBytes() {
		return this.exchange.claim().map(OnceClaim::maxStoredBytes).orElse(MAX_BUFFERED_BYTES);
	}

	int resumeOffset() {
		return (this.relay != null) ? this.relay.resumeOffset() : this.exchange.initialOffset();
	}

	int tokens() {
		return (this.relay != null) ? this.relay.tokens() : this.exchange.initialOffset();
	}

	void reset() {
		if (this.relay != null) {
			this.relay.reset();
		}
	}

}
