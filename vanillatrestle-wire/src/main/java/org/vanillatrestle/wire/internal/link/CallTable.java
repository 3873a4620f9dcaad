package org.vanillatrestle.wire.internal.link;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.UnsafeByteOperations;
import io.netty.util.concurrent.Future;
import org.vanillatrestle.wire.PeerChannel;
import org.vanillatrestle.wire.PeerException;
import org.vanillatrestle.wire.PeerException.Reason;
import org.vanillatrestle.wire.generated.peer.Call;
import org.vanillatrestle.wire.generated.peer.Envelope;
import org.vanillatrestle.wire.generated.peer.Reply;

/**
 * The calls of one link that wait for an answer, each way.
 * <p>
 * Not thread safe. Invariants: at most {@code maxCalls} wait each way; each call's future
 * ends, at the latest by its time-out or with the link; a call is answered at most once,
 * so one that is doubled or overtaken by a later one is dropped.
 */
final class CallTable {

	private final LinkWriter link;

	private final int maxCalls;

	private final Map<Long, Waiting> waiting = new HashMap<>();

	private long lastCallId;

	private long lastAnsweredId;

	private int answering;

	private boolean closed;

	CallTable(LinkWriter link, int maxCalls) {
		this.link = link;
		this.maxCalls = maxCalls;
	}

	CompletableFuture<byte[]> call(PeerChannel channel, byte[] payload, int timeoutMillis) {
		if (this.waiting.size() >= this.maxCalls || !this.link.isWritable()) {
			return CompletableFuture
				.failedFuture(new PeerException(Reason.BACKLOGGED, "The link takes no more calls now."));
		}
		long callId = ++this.lastCallId;
		CompletableFuture<byte[]> answer = new CompletableFuture<>();
		Future<?> timer = this.link.loop()
			.schedule(() -> timeOut(callId, timeoutMillis), timeoutMillis, TimeUnit.MILLISECONDS);
		this.waiting.put(callId, new Waiting(answer, timer));
		Call call = Call.newBuilder()
			.setCallId(callId)
			.setChannel(channel.code())
			.setPayload(UnsafeByteOperations.unsafeWrap(payload))
			.build();
		this.link.write(Envelope.newBuilder().setCall(call).build());
		return answer;
	}

	void reply(Reply reply) {
		Waiting call = this.waiting.remove(reply.getCallId());
		if (call == null) {
			return;
		}
		call.timer.cancel(false);
		if (reply.getError().isEmpty()) {
			call.answer.complete(reply.getPayload().toByteArray());
			return;
		}
		call.answer.completeExceptionally(new PeerException(Reason.REFUSED, reply.getError()));
	}

	/**
	 * Answers a call of the peer.
	 * @param callId the peer's number of the call
	 * @param handler computes the answer
	 */
	void answer(long callId, Answerer handler) {
		if (callId <= this.lastAnsweredId) {
			return;
		}
		this.lastAnsweredId = callId;
		if (this.answering >= this.maxCalls) {
			sendReply(callId, null, "Too many calls wait for an answer.");
			return;
		}
		this.answering++;
		handler.answer()
			.whenComplete((payload, failure) -> this.link.loop().execute(() -> answered(callId, payload, failure)));
	}

	void linkLost() {
		this.closed = true;
		List<Waiting> lost = new ArrayList<>(this.waiting.values());
		this.waiting.clear();
		for (Waiting call : lost) {
			call.timer.cancel(false);
			call.answer.completeExceptionally(
					new PeerException(Reason.LINK_LOST, "The link was lost before the answer came."));
		}
	}

	private void answered(long callId, byte[] payload, Throwable failure) {
		this.answering--;
		if (failure != null) {
			sendReply(callId, null, String.valueOf(failure.getMessage()));
			return;
		}
		sendReply(callId, payload, "");
	}

	private void sendReply(long callId, byte[] payload, String error) {
		if (this.closed) {
			return;
		}
		Reply.Builder reply = Reply.newBuilder().setCallId(callId).setError(error);
		if (payload != null) {
			reply.setPayload(UnsafeByteOperations.unsafeWrap(payload));
		}
		this.link.write(Envelope.newBuilder().setReply(reply).build());
	}

	private void timeOut(long callId, int timeoutMillis) {
		Waiting call = this.waiting.remove(callId);
		if (call != null) {
			call.answer.completeExceptionally(
					new PeerException(Reason.TIMED_OUT, "No answer came within " + timeoutMillis + " ms."));
		}
	}

	/**
	 * Computes the answer to a call.
	 */
	interface Answerer {

		CompletableFuture<byte[]> answer();

	}

	/**
	 * A call without its answer.
	 */
	private record Waiting(CompletableFuture<byte[]> answer, Future<?> timer) {

	}

}
