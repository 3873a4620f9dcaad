package org.vanillatrestle.wire.internal.link;

import java.util.concurrent.TimeUnit;

import com.google.protobuf.UnsafeByteOperations;
import io.netty.channel.ChannelFuture;
import io.netty.util.concurrent.Future;
import org.vanillatrestle.Verdict;
import org.vanillatrestle.wire.ForwardFailure;
import org.vanillatrestle.wire.ForwardListener;
import org.vanillatrestle.wire.ForwardStream;
import org.vanillatrestle.wire.ForwardedRequest;
import org.vanillatrestle.wire.PeerSettings;
import org.vanillatrestle.wire.generated.peer.BodyFrame;
import org.vanillatrestle.wire.generated.peer.Cancel;
import org.vanillatrestle.wire.generated.peer.Credit;
import org.vanillatrestle.wire.generated.peer.Envelope;
import org.vanillatrestle.wire.generated.peer.NotStarted;
import org.vanillatrestle.wire.generated.peer.ResponseEnd;
import org.vanillatrestle.wire.generated.peer.ResponseFrame;
import org.vanillatrestle.wire.generated.peer.ResponseHead;
import org.vanillatrestle.wire.generated.peer.StreamKey;
import org.vanillatrestle.wire.internal.link.FrameSequencer.Outcome;

/**
 * The sender's end of one forwarded request.
 * <p>
 * Not thread safe. Invariant: the listener gets exactly one end. "Not run" is said only
 * if writing the request to the link failed, so that the peer never had it whole, or the
 * holder confirmed it before any head.
 */
final class OutboundStream implements ForwardStream {

	private final LinkWriter link;

	private final PeerSettings settings;

	private final StreamKey key;

	private final ForwardListener listener;

	private final Runnable onClose;

	private final FrameSequencer sequencer;

	private final ReceiveWindow window;

	private final FrameSender body;

	private Future<?> timer;

	private ChannelFuture requestWrite;

	private boolean headReceived;

	private boolean cancelled;

	private boolean closed;

	OutboundStream(LinkWriter link, PeerSettings settings, StreamKey key, int peerWindowBytes, ForwardListener listener,
			Runnable onClose) {
		this.link = link;
		this.settings = settings;
		this.key = key;
		this.listener = listener;
		this.onClose = onClose;
		this.sequencer = new FrameSequencer(key);
		this.window = new ReceiveWindow(settings.streamWindowBytes());
		this.body = new FrameSender(link, this::sendBody, listener::onBodyWritable, peerWindowBytes,
				settings.maxFrameBytes(), 0);
	}

	void send(ForwardedRequest request) {
		this.requestWrite = this.link
			.write(Envelope.newBuilder().setForwardRequest(Messages.request(this.key, request)).build());
		this.timer = this.link.loop()
			.schedule(() -> cancel("deadline"), request.deadlineRemainingMillis(), TimeUnit.MILLISECONDS);
		this.requestWrite.addListener((write) -> {
			if (!write.isSuccess()) {
				this.link.loop().execute(this::requestNotWritten);
			}
		});
	}

	@Override
	public boolean isBodyWritable() {
		return !this.cancelled && this.body.isWritable();
	}

	@Override
	public void writeBody(byte[] data, boolean last) {
		if (!this.cancelled) {
			this.body.write(data, last);
		}
	}

	@Override
	public void consumed(int bytes) {
		if (!this.closed && this.window.consume(bytes)) {
			Credit credit = Credit.newBuilder().setKey(this.key).setLimitBytes(this.window.grant()).build();
			this.link.write(Envelope.newBuilder().setResponseCredit(credit).build());
		}
	}

	@Override
	public void cancel(String reason) {
		if (this.closed || this.cancelled) {
			return;
		}
		this.cancelled = true;
		this.body.close();
		sendCancel(reason);
		this.timer.cancel(false);
		this.timer = this.link.loop()
			.schedule(() -> fail(Verdict.MAY_HAVE_RUN, "cancelled", "The attempt was cancelled: " + reason + "."),
					this.settings.cancelTimeoutMillis(), TimeUnit.MILLISECONDS);
	}

	void bodyCredit(Credit credit) {
		if (!isOwn(credit.getKey()) || this.cancelled) {
			return;
		}
		this.body.limit(credit.getLimitBytes());
	}

	void head(ResponseHead head) {
		if (isNext(head.getKey(), 0)) {
			this.headReceived = true;
			if (!this.cancelled) {
				this.listener.onHead(head.getStatus(), Messages.headersOf(head.getHeadersList()), head.getTarget());
			}
		}
	}

	void frame(ResponseFrame frame) {
		if (!isNext(frame.getKey(), frame.getSequence())) {
			return;
		}
		if (!this.headReceived) {
			this.link.violated("The peer sent a piece of an answer before its head.");
			return;
		}
		int size = frame.getData().size();
		if (!this.window.receive(size)) {
			this.link.violated("The peer sent more of an answer than it had credit for.");
			return;
		}
		if (this.cancelled) {
			return;
		}
		this.listener.onFrame(frame.getData().toByteArray());
	}

	void end(ResponseEnd end) {
		if (end.getComplete()) {
			endWhole(end);
			return;
		}
		if (isOwn(end.getKey())) {
			fail(Messages.verdict(end.getVerdict()), end.getCode(), end.getText());
		}
	}

	void notStarted(NotStarted message) {
		if (!isOwn(message.getKey())) {
			return;
		}
		Verdict verdict = (this.headReceived) ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
		finish(new ForwardFailure(verdict, message.getCode(), message.getText(), message.getRetryAfterMillis(),
				message.getAppliedIndex()));
	}

	void linkLost() {
		boolean neverWhole = this.requestWrite.isDone() && !this.requestWrite.isSuccess();
		Verdict verdict = (neverWhole) ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
		fail(verdict, "link-lost", "The link to the VM that held the request was lost.");
	}

	private void endWhole(ResponseEnd end) {
		if (!isNext(end.getKey(), end.getSequence())) {
			return;
		}
		if (!this.headReceived || this.cancelled) {
			fail(Messages.verdict(end.getVerdict()), "cancelled", "The attempt was cancelled before its end came.");
			return;
		}
		close();
		this.listener.onEnd(Messages.usage(end.getUsage()));
	}

	private void requestNotWritten() {
		fail(Verdict.NOT_RUN, "not-sent", "The request could not be written to the link.");
	}

	private boolean isOwn(StreamKey messageKey) {
		return !this.closed && this.sequencer.isOwn(messageKey);
	}

	private boolean isNext(StreamKey frameKey, int sequence) {
		if (this.closed) {
			return false;
		}
		Outcome outcome = this.sequencer.accept(frameKey, sequence);
		if (outcome == Outcome.GAP) {
			sendCancel("gap");
			fail(Verdict.MAY_HAVE_RUN, "gap", "A piece of the answer is missing.");
		}
		return outcome == Outcome.IN_ORDER;
	}

	private void sendBody(int sequence, byte[] data, int offset, int size, boolean last) {
		BodyFrame frame = BodyFrame.newBuilder()
			.setKey(this.key)
			.setSequence(sequence)
			.setData(UnsafeByteOperations.unsafeWrap(data, offset, size))
			.setLast(last)
			.build();
		this.link.write(Envelope.newBuilder().setBodyFrame(frame).build());
	}

	private void sendCancel(String reason) {
		Cancel cancel = Cancel.newBuilder().setKey(this.key).setReason(reason).build();
		this.link.write(Envelope.newBuilder().setCancel(cancel).build());
	}

	private void fail(Verdict verdict, String code, String message) {
		finish(new ForwardFailure(verdict, code, message));
	}

	private void finish(ForwardFailure failure) {
		if (!this.closed) {
			close();
			this.listener.onFailed(failure);
		}
	}

	private void close() {
		this.closed = true;
		this.body.close();
		this.timer.cancel(false);
		this.onClose.run();
	}

}
