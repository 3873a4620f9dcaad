package org.vanillatrestle.daemon.internal.forward;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;

import io.netty.buffer.Unpooled;
import org.vanillatrestle.Verdict;
import org.vanillatrestle.VmId;
import org.vanillatrestle.daemon.internal.peer.PeerService;
import org.vanillatrestle.daemon.internal.pipeline.AnswerHead;
import org.vanillatrestle.daemon.internal.pipeline.AttemptHandle;
import org.vanillatrestle.daemon.internal.pipeline.AttemptListener;
import org.vanillatrestle.wire.ForwardFailure;
import org.vanillatrestle.wire.ForwardListener;
import org.vanillatrestle.wire.ForwardStream;
import org.vanillatrestle.wire.ForwardedRequest;
import org.vanillatrestle.wire.Header;
import org.vanillatrestle.wire.PeerNode;
import org.vanillatrestle.wire.Usage;

/**
 * An attempt that forwards a request to another VM.
 * <p>
 * While reading is paused, received chunks are buffered and not acknowledged, so that the
 * link's flow-control window limits the buffer. Used on the VM's event loop.
 */
final class ForwardAttempt implements AttemptHandle, ForwardListener {

	private static final int MAX_CHUNK_BYTES = 16 * 1024;

	private final byte[] body;

	private final AttemptListener listener;

	private final Deque<byte[]> bufferedChunks = new ArrayDeque<>();

	private ForwardStream stream;

	private int bodyOffset;

	private boolean bodySent;

	private boolean reading = true;

	private boolean endReceived;

	private boolean done;

	ForwardAttempt(byte[] body, AttemptListener listener) {
		this.body = body;
		this.listener = listener;
	}

	void open(PeerNode node, VmId vm, ForwardedRequest request) {
		this.stream = node.open(vm, request, this);
		onBodyWritable();
	}

	void failLater(PeerService peers, String detail) {
		peers.runLater(() -> fail(Verdict.NOT_RUN, detail));
	}

	@Override
	public void onBodyWritable() {
		while (!this.done && !this.bodySent && this.stream.isBodyWritable()) {
			int end = Math.min(this.body.length, this.bodyOffset + MAX_CHUNK_BYTES);
			byte[] chunk = Arrays.copyOfRange(this.body, this.bodyOffset, end);
			this.bodyOffset = end;
			this.bodySent = end == this.body.length;
			this.stream.writeBody(chunk, this.bodySent);
		}
	}

	@Override
	public void onHead(int status, List<Header> headers, String target) {
		if (!this.done) {
			this.listener.onHead(new AnswerHead(status, ForwardHeaders.toHttp(headers)));
		}
	}

	@Override
	public void onFrame(byte[] data) {
		this.bufferedChunks.add(data);
		deliver();
	}

	@Override
	public void onEnd(Usage usage) {
		this.endReceived = true;
		deliver();
	}

	@Override
	public void onFailed(ForwardFailure failure) {
		fail(failure.verdict(), failure.code() + ": " + failure.message());
	}

	private void deliver() {
		while (!this.done && this.reading && !this.bufferedChunks.isEmpty()) {
			byte[] data = this.bufferedChunks.poll();
			this.stream.consumed(data.length);
			this.listener.onBody(Unpooled.wrappedBuffer(data));
		}
		if (!this.done && this.endReceived && this.bufferedChunks.isEmpty()) {
			this.done = true;
			this.listener.onEnd();
		}
	}

	private void fail(Verdict verdict, String detail) {
		if (this.done) {
			return;
		}
		this.done = true;
		this.bufferedChunks.clear();
		this.listener.onFailure(verdict, detail);
	}

	@Override
	public Verdict cancel() {
		if (!this.done) {
			this.done = true;
			this.bufferedChunks.clear();
			if (this.stream != null) {
				this.stream.cancel("the sender cancelled the attempt");
			}
		}
		return (this.stream != null) ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
	}

	@Override
	public void setReading(boolean reading) {
		this.reading = reading;
		if (reading) {
			deliver();
		}
	}

}
