package org.vanillatrestle.wire;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

import org.vanillatrestle.Verdict;

/**
 * Holds forwarded requests: starts each when its body is whole, logs the run, and answers
 * with the given pieces, unless told to wait or to refuse.
 */
final class ScriptedHolder implements ForwardHandler {

	final List<String> runs = new ArrayList<>();

	final List<String> cancelled = new ArrayList<>();

	final List<Holding> holdings = new ArrayList<>();

	List<byte[]> answer = List.of("one ".getBytes(), "two ".getBytes(), "three".getBytes());

	boolean refuse;

	boolean wait;

	boolean slow;

	boolean hang;

	@Override
	public ExchangeListener onRequest(ForwardExchange exchange) {
		Holding holding = new Holding(exchange);
		this.holdings.add(holding);
		return holding;
	}

	/**
	 * One held request.
	 */
	final class Holding implements ExchangeListener {

		final ForwardExchange exchange;

		final ByteArrayOutputStream body = new ByteArrayOutputStream();

		private boolean ran;

		private int sent;

		Holding(ForwardExchange exchange) {
			this.exchange = exchange;
		}

		@Override
		public void onBody(byte[] data, boolean last) {
			this.body.writeBytes(data);
			if (!ScriptedHolder.this.slow) {
				this.exchange.bodyConsumed(data.length);
			}
			if (last && !ScriptedHolder.this.wait) {
				run();
			}
		}

		@Override
		public void onWritable() {
			pump();
		}

		@Override
		public void onCancelled(String reason) {
			ScriptedHolder.this.cancelled.add(reason);
			this.exchange.fail(Verdict.MAY_HAVE_RUN, "cancelled", reason);
		}

		void run() {
			if (ScriptedHolder.this.refuse) {
				this.exchange.refuse("busy", "No room.", 40);
				return;
			}
			if (!this.exchange.start()) {
				return;
			}
			this.ran = true;
			ScriptedHolder.this.runs.add(this.body.toString());
			this.exchange.head(200, List.of(), "engine-1");
			pump();
		}

		private void pump() {
			List<byte[]> pieces = ScriptedHolder.this.answer;
			if (ScriptedHolder.this.hang) {
				return;
			}
			while (this.ran && this.sent < pieces.size() && this.exchange.isWritable()) {
				this.exchange.frame(pieces.get(this.sent++));
			}
			if (this.ran && this.sent == pieces.size()) {
				this.sent++;
				this.exchange.end(Usage.NONE);
			}
		}

	}

}
