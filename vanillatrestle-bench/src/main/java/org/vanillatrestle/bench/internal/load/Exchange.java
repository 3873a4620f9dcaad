package org.vanillatrestle.bench.internal.load;

import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;

/**
 * One request in flight and what was seen of its answer.
 * <p>
 * Not thread safe; confined to the client's event loop. It ends once.
 */
final class Exchange {

	private static final String VERDICT_HEADER = "Vanillatrestle-Verdict";

	private final RequestKind.AnswerCheck check;

	private final LoadResult result;

	private final long intendedNanos;

	private final Consumer<Exchange> onEnd;

	private HttpResponse head;

	private long lastTokenNanos;

	private AnswerKind kind;

	Exchange(RequestKind.AnswerCheck check, LoadResult result, long intendedNanos, Consumer<Exchange> onEnd) {
		this.check = check;
		this.result = result;
		this.intendedNanos = intendedNanos;
		this.onEnd = onEnd;
	}

	/**
	 * Returns the head of the answer.
	 * @return the head, or {@code null} if none has arrived
	 */
	HttpResponse head() {
		return this.head;
	}

	/**
	 * Returns how the exchange ended.
	 * @return the kind, or {@code null} while it goes on
	 */
	AnswerKind kind() {
		return this.kind;
	}

	void head(HttpResponse response) {
		this.head = response;
	}

	void content(ByteBuf content, long nowNanos) {
		int tokens = this.check.accept(content);
		if (tokens == 0) {
			return;
		}
		this.result.tokens(tokens);
		if (this.check.lastSentNanos() != 0) {
			this.result.delivery().recordValue(Math.max(0, nowNanos - this.check.lastSentNanos()));
		}
		if (this.lastTokenNanos == 0) {
			this.result.firstToken().recordValue(nowNanos - this.intendedNanos);
		}
		else {
			this.result.betweenTokens().recordValue(nowNanos - this.lastTokenNanos);
		}
		this.lastTokenNanos = nowNanos;
	}

	void end(long nowNanos) {
		if (this.head.status().codeClass() != HttpStatusClass.SUCCESS) {
			end(AnswerKind.ofError(this.head.headers().get(VERDICT_HEADER)));
			return;
		}
		if (!this.check.isWhole()) {
			end(AnswerKind.FALSE_WHOLE);
			return;
		}
		this.result.total().recordValue(nowNanos - this.intendedNanos);
		end(AnswerKind.WHOLE);
	}

	void broken() {
		end(AnswerKind.BROKEN);
	}

	private void end(AnswerKind how) {
		if (this.kind != null) {
			return;
		}
		this.kind = how;
		this.result.ended(how);
		this.onEnd.accept(this);
	}

}
