package org.vanillatrestle.wire.internal.link;

import java.util.List;

import com.google.protobuf.UnsafeByteOperations;
import org.vanillatrestle.Verdict;
import org.vanillatrestle.wire.ExchangeListener;
import org.vanillatrestle.wire.ForwardExchange;
import org.vanillatrestle.wire.Header;
import org.vanillatrestle.wire.PeerIdentity;
import org.vanillatrestle.wire.PeerSettings;
import org.vanillatrestle.wire.ReceivedRequest;
import org.vanillatrestle.wire.Usage;
import org.vanillatrestle.wire.generated.peer.BodyFrame;
import org.vanillatrestle.wire.generated.peer.Cancel;
import org.vanillatrestle.wire.generated.peer.Credit;
import org.vanillatrestle.wire.generated.peer.Envelope;
import org.vanillatrestle.wire.generated.peer.ResponseEnd;
import org.vanillatrestle.wire.generated.peer.ResponseFrame;
import org.vanillatrestle.wire.generated.peer.ResponseHead;
import org.vanillatrestle.wire.generated.peer.StreamKey;
import org.vanillatrestle.wire.internal.link.FrameSequencer.Outcome;

/**
 * The holder's end of one forwarded request.
 * <p>
 * Not thread safe. Invariant: once the peer was told that the request never will start,
 * {@link #start} returns {@code false}.
 */
final class InboundStream implements ForwardExchange {

	private static final int FIRST_FRAME = 1;

	private final LinkWriter link;

	private final PeerIdentity sender;

	private final StreamKey key;

	private final ReceivedRequest request;

	private final Runnable onClose;

	private final NotStartedReply notStartedReply;

	private final FrameSequencer sequencer;

	private final ReceiveWindow window;

	private final FrameSender answer;

	private ExchangeListener listener;

	private Usage usage;

	private boolean started;

	private boolean headSent;

	private boolean abandoned;

	private boolean closed;

	InboundStream(LinkWriter link, PeerSettings settings, PeerIdentity sender, int peerWindowBytes, StreamKey key,
			ReceivedRequest request, NotStartedReply notStartedReply, Runnable onClose) {
		this.link = link;
		this.sender = sender;
		this.key = key;
		this.request = request;
		this.notStartedReply = notStartedReply;
		this.onClose = onClose;
		this.sequencer = new FrameSequencer(key);
		this.window = new ReceiveWindow(settings.streamWindowBytes());
		this.answer = new FrameSender(link, this::sendFrame, this::writable, peerWindowBytes, settings.maxFrameBytes(),
				FIRST_FRAME);
	}

	void attach(ExchangeListener newListener) {
		this.listener = newListener;
	}

	@Override
	public PeerIdentity sender() {
		return this.sender;
	}

	@Override
	public ReceivedRequest request() {
		return this.request;
	}

	@Override
	public boolean start() {
		if (this.closed) {
			return false;
		}
		this.started = true;
		return true;
	}

	@Override
	public void refuse(String code, String message, int retryAfterMillis) {
		if (this.closed) {
			return;
		}
		if (this.headSent) {
			throw new IllegalStateException("The head was sent, so the request was run.");
		}
		close();
		this.notStartedReply.send(this.key, code, message, retryAfterMillis);
	}

	@Override
	public void head(int status, List<Header> headers, String target) {
		if (this.closed) {
			return;
		}
		if (!this.started || this.headSent) {
			throw new IllegalStateException("A head is sent once, after start().");
		}
		this.headSent = true;
		ResponseHead head = ResponseHead.newBuilder()
			.setKey(this.key)
			.setStatus(status)
			.addAllHeaders(Messages.headers(headers))
			.setTarget(target)
			.build();
		this.link.write(Envelope.newBuilder().setResponseHead(head).build());
	}

	@Override
	public boolean isWritable() {
		return this.answer.isWritable();
	}

	@Override
	public void frame(byte[] data) {
		requireHead();
		if (data.length > 0) {
			this.answer.write(data, false);
		}
	}

	@Override
	public void end(Usage newUsage) {
		requireHead();
		this.usage = newUsage;
		this.answer.write(new byte[0], true);
	}

	@Override
	public void fail(Verdict verdict, String code, String message) {
		if (verdict == Verdict.NOT_RUN) {
			throw new IllegalArgumentException("Use refuse() for a request that was not run.");
		}
		if (this.closed) {
			return;
		}
		close();
		ResponseEnd end = ResponseEnd.newBuilder()
			.setKey(this.key)
			.setVerdict(Messages.verdict(verdict))
			.setCode(code)
			.setText(message)
			.build();
		this.link.write(Envelope.newBuilder().setResponseEnd(end).build());
	}

	@Override
	public void bodyConsumed(int bytes) {
		if (!this.closed && this.window.consume(bytes)) {
			Credit credit = Credit.newBuilder().setKey(this.key).setLimitBytes(this.window.grant()).build();
			this.link.write(Envelope.newBuilder().setBodyCredit(credit).build());
		}
	}

	void body(BodyFrame frame) {
		if (this.closed) {
			return;
		}
		Outcome outcome = this.sequencer.accept(frame.getKey(), frame.getSequence());
		if (outcome == Outcome.GAP) {
			abandon("A piece of the request's body is missing.");
			return;
		}
		if (outcome != Outcome.IN_ORDER) {
			return;
		}
		if (!this.window.receive(frame.getData().size())) {
			this.link.violated("The peer sent more of a body than it had credit for.");
			return;
		}
		this.listener.onBody(frame.getData().toByteArray(), frame.getLast());
	}

	void cancel(Cancel message) {
		if (!this.closed && this.sequencer.isOwn(message.getKey())) {
			abandon(message.getReason());
		}
	}

	void credit(Credit credit) {
		if (this.closed || !this.sequencer.isOwn(credit.getKey())) {
			return;
		}
		this.answer.limit(credit.getLimitBytes());
	}

	void linkLost() {
		if (!this.closed) {
			close();
			this.listener.onCancelled("The link to the sender was lost.");
		}
	}

	/**
	 * Stops the request: confirms that it never will start if nobody started it, else
	 * leaves it to the holder to say how it ended.
	 * @param reason why
	 */
	private void abandon(String reason) {
		if (this.abandoned) {
			return;
		}
		this.abandoned = true;
		if (!this.started) {
			refuse("cancelled", "The request was cancelled before it was started: " + reason, 0);
		}
		this.listener.onCancelled(reason);
	}

	private void writable() {
		this.listener.onWritable();
	}

	private void requireHead() {
		if (!this.closed && !this.headSent) {
			throw new IllegalStateException("Send the head first.");
		}
	}

	private void sendFrame(int sequence, byte[] data, int offset, int size, boolean last) {
		if (last) {
			sendEnd(sequence);
			return;
		}
		ResponseFrame frame = ResponseFrame.newBuilder()
			.setKey(this.key)
			.setSequence(sequence)
			.setData(UnsafeByteOperations.unsafeWrap(data, offset, size))
			.build();
		this.link.write(Envelope.newBuilder().setResponseFrame(frame).build());
	}

	private void sendEnd(int sequence) {
		close();
		ResponseEnd end = ResponseEnd.newBuilder()
			.setKey(this.key)
			.setSequence(sequence)
			.setComplete(true)
			.setVerdict(Messages.verdict(Verdict.RAN))
			.setUsage(Messages.usage(this.usage))
			.build();
		this.link.write(Envelope.newBuilder().setResponseEnd(end).build());
	}

	private void close() {
		this.closed = true;
		this.answer.close();
		this.onClose.run();
	}

	/**
	 * Sends the confirmation that a request never will start.
	 */
	interface NotStartedReply {

		void send(StreamKey key, String code, String message, int retryAfterMillis);

	}

}
