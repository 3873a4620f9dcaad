package org.vanillatrestle.bench.internal.peer;

import java.util.List;

import org.vanillatrestle.Verdict;
import org.vanillatrestle.wire.ExchangeListener;
import org.vanillatrestle.wire.ForwardExchange;
import org.vanillatrestle.wire.Usage;

/**
 * Holds a forwarded request and answers it when its body is whole.
 * <p>
 * Not thread safe.
 */
final class AnswerAtOnce implements ExchangeListener {

	private static final int PIECE_BYTES = 500;

	private final ForwardExchange exchange;

	AnswerAtOnce(ForwardExchange exchange) {
		this.exchange = exchange;
	}

	@Override
	public void onBody(byte[] data, boolean last) {
		this.exchange.bodyConsumed(data.length);
		if (last && this.exchange.start()) {
			this.exchange.head(200, List.of(), "service-1");
			this.exchange.frame(new byte[PIECE_BYTES]);
			this.exchange.frame(new byte[PIECE_BYTES]);
			this.exchange.end(Usage.NONE);
		}
	}

	@Override
	public void onCancelled(String reason) {
		this.exchange.fail(Verdict.MAY_HAVE_RUN, "cancelled", reason);
	}

}
