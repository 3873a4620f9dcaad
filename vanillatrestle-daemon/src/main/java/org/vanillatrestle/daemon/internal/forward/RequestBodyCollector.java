package org.vanillatrestle.daemon.internal.forward;

import java.io.ByteArrayOutputStream;

import org.vanillatrestle.daemon.internal.pipeline.Exchange;
import org.vanillatrestle.wire.ExchangeListener;
import org.vanillatrestle.wire.ForwardExchange;

/**
 * Collects the body of a forwarded request and runs the request once the body is
 * complete.
 * <p>
 * Used on the VM's event loop.
 */
final class RequestBodyCollector implements ExchangeListener {

	private final ForwardExchange forward;

	private final int maxBodyBytes;

	private final Runner runner;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private final ForwardSink sink;

	private Exchange exchange;

	private boolean refused;

	RequestBodyCollector(ForwardExchange forward, int maxBodyBytes, Runner runner) {
		this.forward = forward;
		this.maxBodyBytes = maxBodyBytes;
		this.runner = runner;
		this.sink = new ForwardSink(forward);
	}

	@Override
	public void onBody(byte[] data, boolean last) {
		if (this.refused) {
			return;
		}
		this.body.writeBytes(data);
		if (this.body.size() > this.maxBodyBytes) {
			this.refused = true;
			this.forward.refuse("BODY_TOO_LARGE", "The body is longer than this VM accepts.", 0);
			return;
		}
		this.forward.bodyConsumed(data.length);
		if (last) {
			this.exchange = this.runner.run(this.sink, this.body.toByteArray());
		}
	}

	@Override
	public void onWritable() {
		this.sink.flush();
		if (this.exchange != null) {
			this.exchange.writabilityChanged();
		}
	}

	@Override
	public void onCancelled(String reason) {
		this.sink.onCancelled();
		if (this.exchange != null) {
			this.exchange.callerDisconnected();
		}
	}

	/**
	 * Runs a request whose body is complete.
	 */
	@FunctionalInterface
	interface Runner {

		Exchange run(ForwardSink sink, byte[] body);

	}

}
