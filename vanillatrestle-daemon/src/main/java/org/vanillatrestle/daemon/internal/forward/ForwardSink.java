package org.vanillatrestle.daemon.internal.forward;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import org.vanillatrestle.Verdict;
import org.vanillatrestle.daemon.internal.pipeline.AnswerHead;
import org.vanillatrestle.daemon.internal.pipeline.AnswerSink;
import org.vanillatrestle.daemon.internal.pipeline.Refusal;
import org.vanillatrestle.wire.ForwardExchange;
import org.vanillatrestle.wire.Usage;

/**
 * Sends an answer back to the VM that forwarded the request.
 * <p>
 * Pieces wait here while the link takes no more. Used on the VM's event loop.
 */
final class ForwardSink implements AnswerSink {

	private static final int PIECE_BYTES = 16 * 1024;

	private final ForwardExchange forward;

	private final Deque<byte[]> waiting = new ArrayDeque<>();

	private boolean ending;

	private boolean closed;

	ForwardSink(ForwardExchange forward) {
		this.forward = forward;
	}

	@Override
	public void answer(AnswerHead head, byte[] body) {
		head(head);
		add(body);
		end();
	}

	@Override
	public void head(AnswerHead head) {
		this.forward.head(head.status(), ForwardHeaders.toWire(head.headers()), "");
	}

	@Override
	public void body(ByteBuf data) {
		byte[] bytes = ByteBufUtil.getBytes(data);
		data.release();
		add(bytes);
		flush();
	}

	private void add(byte[] bytes) {
		for (int from = 0; from < bytes.length; from += PIECE_BYTES) {
			this.waiting.add(Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + PIECE_BYTES)));
		}
	}

	@Override
	public void end() {
		this.ending = true;
		flush();
	}

	/**
	 * Sends what the link takes now.
	 */
	void flush() {
		while (!this.closed && !this.waiting.isEmpty() && this.forward.isWritable()) {
			this.forward.frame(this.waiting.poll());
		}
		if (!this.closed && this.ending && this.waiting.isEmpty()) {
			this.closed = true;
			this.forward.end(Usage.NONE);
		}
	}

	@Override
	public void abort() {
		if (!this.closed) {
			this.closed = true;
			this.waiting.clear();
			this.forward.fail(Verdict.MAY_HAVE_RUN, "ANSWER_BROKEN", "The target's answer broke off.");
		}
	}

	/**
	 * The sender has gone or given up.
	 */
	void cancelled() {
		abort();
	}

	@Override
	public void refuse(Refusal refusal, AnswerHead head) {
		if (this.closed) {
			return;
		}
		this.closed = true;
		if (refusal.verdict() == Verdict.NOT_RUN) {
			this.forward.refuse(refusal.code(), refusal.message(), (int) Math.max(0, refusal.retryAfterMillis()));
		}
		else {
			this.forward.fail(Verdict.MAY_HAVE_RUN, refusal.code(), refusal.message());
		}
	}

	@Override
	public boolean isWritable() {
		return this.waiting.isEmpty() && this.forward.isWritable();
	}

}
