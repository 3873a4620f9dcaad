package org.vanillatrestle.wire.internal.link;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;

import org.vanillatrestle.wire.ExchangeListener;
import org.vanillatrestle.wire.ForwardListener;
import org.vanillatrestle.wire.ForwardStream;
import org.vanillatrestle.wire.ForwardedRequest;
import org.vanillatrestle.wire.PeerIdentity;
import org.vanillatrestle.wire.ReceivedRequest;
import org.vanillatrestle.wire.generated.peer.BodyFrame;
import org.vanillatrestle.wire.generated.peer.Cancel;
import org.vanillatrestle.wire.generated.peer.Credit;
import org.vanillatrestle.wire.generated.peer.Envelope;
import org.vanillatrestle.wire.generated.peer.ForwardRequest;
import org.vanillatrestle.wire.generated.peer.NotStarted;
import org.vanillatrestle.wire.generated.peer.StreamKey;

/**
 * The open streams of one link, both ways.
 * <p>
 * Not thread safe. Invariant: a request whose stream id is not above all ids seen before
 * on the link is dropped. So a message that names a higher id than any request may be
 * answered with "never will start".
 */
final class StreamTable {

	private final LinkWriter link;

	private final LinkOwner owner;

	private final PeerIdentity peer;

	private final int peerWindowBytes;

	private final Map<Long, OutboundStream> outbound = new HashMap<>();

	private final Map<Long, InboundStream> inbound = new HashMap<>();

	private long lastOutboundId;

	private long lastInboundId;

	StreamTable(LinkWriter link, LinkOwner owner, PeerIdentity peer, int peerWindowBytes) {
		this.link = link;
		this.owner = owner;
		this.peer = peer;
		this.peerWindowBytes = peerWindowBytes;
	}

	boolean isEmpty() {
		return this.outbound.isEmpty() && this.inbound.isEmpty();
	}

	ForwardStream open(ForwardedRequest request, ForwardListener listener) {
		long id = ++this.lastOutboundId;
		StreamKey key = Messages.key(id, request.requestId(), request.attempt());
		OutboundStream stream = new OutboundStream(this.link, this.owner.settings(), key, this.peerWindowBytes,
				listener, () -> this.outbound.remove(id));
		this.outbound.put(id, stream);
		stream.send(request);
		return stream;
	}

	OutboundStream outbound(StreamKey key) {
		return this.outbound.get(key.getStreamId());
	}

	void request(ForwardRequest message) {
		StreamKey key = message.getKey();
		if (!isNew(key)) {
			return;
		}
		ForwardedRequest request = Messages.request(message);
		if (this.inbound.size() >= this.owner.settings().maxStreams()) {
			sendNotStarted(key, "too-many-streams", "The VM has too many streams open on this link.", 0);
			return;
		}
		InboundStream stream = new InboundStream(this.link, this.owner.settings(), this.peer, this.peerWindowBytes, key,
				new ReceivedRequest(request), this::sendNotStarted, () -> this.inbound.remove(key.getStreamId()));
		this.inbound.put(key.getStreamId(), stream);
		ExchangeListener listener = this.owner.forwardHandler().onRequest(stream);
		stream.attach(listener);
	}

	void body(BodyFrame frame) {
		InboundStream stream = inbound(frame.getKey());
		if (stream != null) {
			stream.body(frame);
		}
	}

	void cancel(Cancel cancel) {
		InboundStream stream = inbound(cancel.getKey());
		if (stream != null) {
			stream.cancel(cancel);
		}
	}

	void responseCredit(Credit credit) {
		InboundStream stream = inbound(credit.getKey());
		if (stream != null) {
			stream.credit(credit);
		}
	}

	void linkLost() {
		new ArrayList<>(this.outbound.values()).forEach(OutboundStream::linkLost);
		new ArrayList<>(this.inbound.values()).forEach(InboundStream::linkLost);
	}

	/**
	 * Finds the stream of a message. If its request never came, it is refused for good.
	 * @param key the key named by the message
	 * @return the stream, or {@code null}
	 */
	private InboundStream inbound(StreamKey key) {
		if (isNew(key)) {
			sendNotStarted(key, "request-lost", "The request did not come before its other messages.", 0);
			return null;
		}
		return this.inbound.get(key.getStreamId());
	}

	private boolean isNew(StreamKey key) {
		if (key.getStreamId() <= this.lastInboundId) {
			return false;
		}
		this.lastInboundId = key.getStreamId();
		return true;
	}

	private void sendNotStarted(StreamKey key, String code, String text, int retryAfterMillis) {
		NotStarted message = NotStarted.newBuilder()
			.setKey(key)
			.setCode(code)
			.setText(text)
			.setRetryAfterMillis(retryAfterMillis)
			.setAppliedIndex(this.owner.appliedIndex())
			.build();
		this.link.write(Envelope.newBuilder().setNotStarted(message).build());
	}

}
