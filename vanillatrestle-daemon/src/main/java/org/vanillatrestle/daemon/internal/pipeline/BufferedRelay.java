package org.vanillatrestle.daemon.internal.pipeline;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.LongSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.vanillatrestle.ServiceKind;

/**
 * Buffers an answer up to a maximum size, so that the caller receives nothing from an
 * attempt that fails before that size is exceeded. From then on, the answer is passed
 * through as it arrives.
 * <p>
 * Used on the VM's event loop.
 */
final class BufferedRelay implements AnswerRelay {

	private final Exchange exchange;

	private final LongSupplier clockNanos;

	private final int maxBufferedBytes;

	private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();

	private AnswerHead head;

	private boolean passingThrough;

	private int completionTokens;

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
		if (this.passingThrough) {
			this.exchange.answerPart(data);
			return;
		}
		append(data);
		if (this.buffer.size() > this.maxBufferedBytes) {
			this.passingThrough = true;
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
			throw new IllegalStateException("Writing to a byte array can't fail.", ex);
		}
		finally {
			data.release();
		}
	}

	@Override
	public boolean end() {
		if (!this.passingThrough && isMalformed()) {
			return false;
		}
		this.exchange.claim().ifPresentOrElse(this::endClaimed, this::endUnclaimed);
		return true;
	}

	/**
	 * Returns whether a model engine's answer is not one complete JSON document. Answers
	 * of plain services may have any content.
	 * @return whether the answer is malformed
	 */
	private boolean isMalformed() {
		return this.exchange.call().service().kind() == ServiceKind.MODEL && this.head.status() == 200
				&& !JsonCheck.isCompleteDocument(this.buffer.toByteArray());
	}

	private void endUnclaimed() {
		if (this.passingThrough) {
			this.exchange.answerEnd();
			return;
		}
		byte[] body = this.buffer.toByteArray();
		this.completionTokens = this.exchange.call().model().isPresent() ? AnswerUsage.completionTokens(body) : 0;
		this.exchange.answer(this.head, body, this.clockNanos.getAsLong());
	}

	private void endClaimed(OnceClaim claim) {
		if (this.passingThrough) {
			claim.recordOversizedAnswer();
			this.exchange.answerEnd();
			return;
		}
		byte[] body = this.buffer.toByteArray();
		claim.recordAnswer(this.head, body, () -> this.exchange.answer(this.head, body, this.clockNanos.getAsLong()));
	}

	@Override
	public void reset() {
		this.buffer.reset();
	}

	@Override
	public int resumeOffset() {
		return this.passingThrough ? -1 : 0;
	}

	@Override
	public int relayedTokens() {
		return this.completionTokens;
	}

}
