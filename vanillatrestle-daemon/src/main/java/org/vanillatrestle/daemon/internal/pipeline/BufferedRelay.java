package org.vanillatrestle.daemon.internal.pipeline;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.LongSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.vanillatrestle.ServiceKind;

/**
 * Collects an answer up to a bound, so that a failed attempt leaves no trace; a longer
 * answer is handed on as it comes.
 * <p>
 * Used on the VM's event loop.
 */
final class BufferedRelay implements AnswerRelay {

	private final Exchange exchange;

	private final LongSupplier clockNanos;

	private final int maxBufferedBytes;

	private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();

	private AnswerHead head;

	private boolean passing;

	private int tokens;

	BufferedRelay(Exchange exchange, LongSupplier clockNanos, int maxBufferedBytes) {
		this.exchange = exchange;
		this.clockNanos = clockNanos;
		this.maxBufferedBytes = maxBufferedBytes;
	}

	@Override
	public void head(AnswerHead newHead) {
		this.head = newHead;
	}

	@Override
	public void body(ByteBuf data) {
		if (this.passing) {
			this.exchange.answerPart(data);
			return;
		}
		append(data);
		if (this.buffer.size() > this.maxBufferedBytes) {
			this.passing = true;
			this.exchange.answerHead(this.head, this.clockNanos.getAsLong());
			this.exchange.answerPart(Unpooled.wrappedBuffer(this.buffer.toByteArray()));
			this.buffer.reset();
		}
	}

	private void append(ByteBuf data) {
		try {
			data.readBytes(this.buffer, data.readableBytes());
		}
		catch (IOException ex) {
			throw new IllegalStateException("A byte array takes every byte.", ex);
		}
		finally {
			data.release();
		}
	}

	@Override
	public boolean end() {
		if (!this.passing && isMalformed()) {
			return false;
		}
		this.exchange.claim().ifPresentOrElse(this::endClaimed, this::endPlain);
		return true;
	}

	/**
	 * Tells whether a model engine's answer is not JSON. Plain services may answer
	 * anything.
	 * @return whether the answer can't be whole
	 */
	private boolean isMalformed() {
		return this.exchange.call().service().kind() == ServiceKind.MODEL && this.head.status() == 200
				&& !JsonCheck.isWhole(this.buffer.toByteArray());
	}

	private void endPlain() {
		if (this.passing) {
			this.exchange.answerEnd();
			return;
		}
		byte[] body = this.buffer.toByteArray();
		this.tokens = this.exchange.call().model().isPresent() ? AnswerUsage.completionTokens(body) : 0;
		this.exchange.answer(this.head, body, this.clockNanos.getAsLong());
	}

	private void endClaimed(OnceClaim claim) {
		if (this.passing) {
			claim.answeredTooLarge();
			this.exchange.answerEnd();
			return;
		}
		byte[] body = this.buffer.toByteArray();
		claim.answered(this.head, body, () -> this.exchange.answer(this.head, body, this.clockNanos.getAsLong()));
	}

	@Override
	public void reset() {
		this.buffer.reset();
	}

	@Override
	public int resumeOffset() {
		return this.passing ? -1 : 0;
	}

	@Override
	public int tokens() {
		return this.tokens;
	}

}
