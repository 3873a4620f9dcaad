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
 * Sends the answer to a forwarded request back to the VM that forwarded it.
 * <p>
 * Chunks are buffered while the link is not writable. Used on the VM's event loop.
 */
final class ForwardSink implements AnswerSink {

	private static final int MAX_CHUNK_BYTES = 16 * 1024;

	private final ForwardExchange forward;

	private final Deque<byte[]> bufferedChunks = new ArrayDeque<>();

	private boolean endPending;

	private boolean closed;

	ForwardSink(ForwardExchange forward) {
		this.forward = forward;
	}

	@Override
	public void answer(AnswerHead head, byte[] body) {
		head(head);
		bufferChunks(body);
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
		bufferChunks(bytes);
		flush();
	}

	private void bufferChunks(byte[] bytes) {
		for (int start = 0; start < bytes.length; start += MAX_CHUNK_BYTES) {
			this.bufferedChunks.add(Arrays.copyOfRange(bytes, start, Math.min(bytes.length, start + MAX_CHUNK_BYTES)));
		}
	}

	@Override
	public void end() {
		this.endPending = true;
		flush();
	}

	/**
	 * Sends buffered chunks while the link is writable, and ends the answer once all are
	 * sent.
	 */
	void flush() {
		while (!this.closed && !this.bufferedChunks.isEmpty() && this.forward.isWritable()) {
			this.forward.frame(this.bufferedChunks.poll());
		}
		if (!this.closed && this.endPending && this.bufferedChunks.isEmpty()) {
			this.closed = true;
			this.forward.end(Usage.NONE);
		}
	}

	@Override
	public void abort() {
		if (!this.closed) {
			this.closed = true;
			this.bufferedChunks.clear();
			this.forward.fail(Verdict.MAY_HAVE_RUN, "ANSWER_BROKEN",
					"The target's answer ended before it was complete.");
		}
	}

	/**
	 * Aborts the answer because the sender disconnected or cancelled the request.
	 */
	void onCancelled() {
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
		return this.bufferedChunks.isEmpty() && this.forward.isWritable();
	}

}
