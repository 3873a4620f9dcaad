package org.vanillatrestle.daemon.internal.pipeline;

import io.netty.buffer.ByteBuf;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.RequestId;

/**
 * Adds headers with the request ID, the region and the number of attempts to each answer.
 * <p>
 * Used on the VM's event loop.
 */
public final class TraceHeaderSink implements AnswerSink {

	private final AnswerSink sink;

	private final RequestId id;

	private final RegionId region;

	private Exchange exchange;

	/**
	 * Creates a sink.
	 * @param sink receives the answer
	 * @param id the request ID
	 * @param region this VM's region
	 */
	public TraceHeaderSink(AnswerSink sink, RequestId id, RegionId region) {
		this.sink = sink;
		this.id = id;
		this.region = region;
	}

	/**
	 * Sets the exchange whose number of attempts is reported.
	 * @param exchange the exchange
	 */
	public void exchange(Exchange exchange) {
		this.exchange = exchange;
	}

	@Override
	public void answer(AnswerHead head, byte[] body) {
		this.sink.answer(withTraceHeaders(head), body);
	}

	@Override
	public void head(AnswerHead head) {
		this.sink.head(withTraceHeaders(head));
	}

	private AnswerHead withTraceHeaders(AnswerHead head) {
		head.headers().set(HeaderNames.REQUEST_ID, this.id.value());
		if (!head.headers().contains(HeaderNames.REGION)) {
			head.headers().set(HeaderNames.REGION, this.region.value());
		}
		head.headers().setInt(HeaderNames.ATTEMPTS, (this.exchange != null) ? this.exchange.attempts() : 0);
		return head;
	}

	@Override
	public void body(ByteBuf data) {
		this.sink.body(data);
	}

	@Override
	public void end() {
		this.sink.end();
	}

	@Override
	public void abort() {
		this.sink.abort();
	}

	@Override
	public void refuse(Refusal refusal, AnswerHead head) {
		this.sink.refuse(refusal, withTraceHeaders(head));
	}

	@Override
	public boolean isWritable() {
		return this.sink.isWritable();
	}

}
