package org.vanillatrestle.daemon.internal.pipeline;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.vanillatrestle.Repeat;
import org.vanillatrestle.daemon.internal.target.HopByHopHeaders;
import org.vanillatrestle.daemon.internal.target.TargetClient;
import org.vanillatrestle.daemon.internal.target.TargetRequest;
import org.vanillatrestle.internal.request.Placement;

/**
 * Starts attempts at targets of this data centre.
 * <p>
 * The caller's bearer key is never sent to a target. Each at-most-once call uses a new
 * connection. Used on the VM's event loop.
 */
public final class LocalAttempts {

	private final TargetClient client;

	public LocalAttempts(TargetClient client) {
		this.client = client;
	}

	/**
	 * Starts an attempt.
	 * @param exchange the request
	 * @param placement the target
	 * @param number the attempt's number, starting at 1
	 * @param resumeOffset the number of stream events to omit; 0 for the complete answer
	 * @param listener receives the events of the attempt
	 * @return the handle of the attempt
	 */
	public AttemptHandle start(Exchange exchange, Placement.Local placement, int number, int resumeOffset,
			AttemptListener listener) {
		CallerRequest request = exchange.request();
		HttpHeaders headers = HopByHopHeaders.copyWithout(request.headers());
		headers.remove(HttpHeaderNames.AUTHORIZATION);
		headers.set(HeaderNames.REQUEST_ID, exchange.id().value());
		headers.setInt(HeaderNames.ATTEMPT, number);
		headers.setInt(HeaderNames.PRIORITY, exchange.call().service().priority());
		headers.remove(HeaderNames.RESUME_OFFSET);
		if (resumeOffset > 0) {
			headers.setInt(HeaderNames.RESUME_OFFSET, resumeOffset);
		}
		boolean newConnection = exchange.call().repeat() == Repeat.AT_MOST_ONCE;
		return this.client.send(
				new TargetRequest(placement.target().address(), request.method(), exchange.call().targetPath(), headers,
						request.body(), newConnection, (response) -> isAnswerTo(response, exchange.id().value())),
				listener);
	}

	// targets of contracts need not name the request
	private static boolean isAnswerTo(HttpHeaders response, String requestId) {
		return requestId.equals(response.get(HeaderNames.REQUEST_ID, requestId));
	}

}
