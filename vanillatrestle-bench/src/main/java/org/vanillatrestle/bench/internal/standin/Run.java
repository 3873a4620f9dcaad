package org.vanillatrestle.bench.internal.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpRequest;
import org.vanillatrestle.bench.internal.http.Responses;

/**
 * One run of a request on a stand-in target.
 * <p>
 * Thread safe. Once the outcome has left {@link Outcome#RUNNING} it no longer changes.
 */
public final class Run {

	private static final String REQUEST_ID_HEADER = "Vanillatrestle-Request-Id";

	private static final String ATTEMPT_HEADER = "Vanillatrestle-Attempt";

	private static final String KEY_HEADER = "Idempotency-Key";

	private final String requestId;

	private final String attempt;

	private final String key;

	private final String method;

	private final String path;

	private long sentBytes;

	private long sentChunks;

	private Outcome outcome = Outcome.RUNNING;

	/**
	 * Starts a run.
	 * @param request the request
	 */
	public Run(HttpRequest request) {
		this.requestId = request.headers().get(REQUEST_ID_HEADER, "");
		this.attempt = request.headers().get(ATTEMPT_HEADER, "");
		this.key = request.headers().get(KEY_HEADER, "");
		this.method = request.method().name();
		this.path = request.uri();
	}

	public String requestId() {
		return this.requestId;
	}

	public String key() {
		return this.key;
	}

	public String method() {
		return this.method;
	}

	public String path() {
		return this.path;
	}

	public synchronized Outcome outcome() {
		return this.outcome;
	}

	public synchronized long sentChunks() {
		return this.sentChunks;
	}

	/**
	 * Counts one chunk of the answer.
	 * @param sizeBytes the size of its content
	 */
	public synchronized void sent(int sizeBytes) {
		this.sentChunks++;
		this.sentBytes += sizeBytes;
	}

	/**
	 * Ends the run; later calls change nothing.
	 * @param end how it ended
	 */
	public synchronized void end(Outcome end) {
		if (this.outcome == Outcome.RUNNING) {
			this.outcome = end;
		}
	}

	/**
	 * Writes the run as JSON.
	 * @return the object
	 */
	public synchronized ObjectNode toJson() {
		return Responses.object()
			.put("requestId", this.requestId)
			.put("attempt", this.attempt)
			.put("key", this.key)
			.put("method", this.method)
			.put("path", this.path)
			.put("sentChunks", this.sentChunks)
			.put("sentBytes", this.sentBytes)
			.put("outcome", this.outcome.name());
	}

	/**
	 * How a run stands. Immutable and thread safe.
	 */
	public enum Outcome {

		/**
		 * The run has not ended.
		 */
		RUNNING,

		/**
		 * The whole answer was sent.
		 */
		COMPLETED,

		/**
		 * The caller closed the connection before the end.
		 */
		CANCELLED,

		/**
		 * A fault on command broke the answer.
		 */
		BROKEN

	}

}
