package org.vanillatrestle.bench.internal.engine;

import org.vanillatrestle.bench.internal.standin.Fault;

/**
 * One answer under way in the batch.
 * <p>
 * Not thread safe; confined to the engine's event loop.
 */
final class Sequence {

	private final ChatRequest request;

	private final TokenText text;

	private final int priority;

	private final long number;

	private final Fault fault;

	private final TokenSink sink;

	private long readyNanos;

	private int nextIndex;

	Sequence(ChatRequest request, int firstIndex, int priority, long number, Fault fault, TokenSink sink) {
		this.request = request;
		this.text = request.text();
		this.nextIndex = firstIndex;
		this.priority = priority;
		this.number = number;
		this.fault = fault;
		this.sink = sink;
	}

	String prompt() {
		return this.request.prompt();
	}

	int priority() {
		return this.priority;
	}

	long number() {
		return this.number;
	}

	Fault fault() {
		return this.fault;
	}

	void readyAt(long nanos) {
		this.readyNanos = nanos;
	}

	boolean isReady(long nowNanos) {
		return nowNanos - this.readyNanos >= 0;
	}

	/**
	 * Generates one token, or ends the answer after the last.
	 * @return whether the answer goes on
	 */
	boolean step() {
		if (this.nextIndex < this.request.maxTokens()) {
			if (!this.sink.token(this.nextIndex, this.text.token(this.nextIndex))) {
				return false;
			}
			this.nextIndex++;
		}
		if (this.nextIndex < this.request.maxTokens()) {
			return true;
		}
		this.sink.end();
		return false;
	}

	/**
	 * Takes the tokens of one answer.
	 */
	interface TokenSink {

		/**
		 * Takes a token.
		 * @param index its place in the answer, from 0
		 * @param text its text
		 * @return whether to go on
		 */
		boolean token(int index, String text);

		/**
		 * Called after the last token.
		 */
		void end();

	}

}
