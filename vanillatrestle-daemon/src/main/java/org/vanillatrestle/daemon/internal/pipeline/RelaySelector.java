package org.vanillatrestle.daemon.internal.pipeline;

import java.util.function.LongSupplier;

import io.netty.handler.codec.http.HttpHeaderNames;

/**
 * Selects the relay for an answer, and keeps the relay of a stream across the attempts of
 * the request.
 * <p>
 * Used on the VM's event loop.
 */
final class RelaySelector {

	private static final int MAX_BUFFERED_BYTES = 64 * 1024;

	private static final String EVENT_STREAM_TYPE = "text/event-stream";

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
		String contentType = head.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
		boolean stream = head.status() == 200 && this.exchange.call().stream()
				&& contentType.startsWith(EVENT_STREAM_TYPE);
		this.relay = stream ? newStreamRelay() : new BufferedRelay(this.exchange, this.clockNanos, maxBufferedBytes());
		return this.relay;
	}

	private AnswerRelay newStreamRelay() {
		return (this.relay instanceof EventStreamRelay) ? this.relay
				: new EventStreamRelay(this.exchange, this.clockNanos);
	}

	private int maxBufferedBytes() {
		return this.exchange.claim().map(OnceClaim::maxStoredBytes).orElse(MAX_BUFFERED_BYTES);
	}

	int resumeOffset() {
		return (this.relay != null) ? this.relay.resumeOffset() : this.exchange.initialEventOffset();
	}

	int relayedTokens() {
		return (this.relay != null) ? this.relay.relayedTokens() : this.exchange.initialEventOffset();
	}

	void reset() {
		if (this.relay != null) {
			this.relay.reset();
		}
	}

}
