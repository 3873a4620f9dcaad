package org.vanillatrestle.wire.internal.link;

import org.vanillatrestle.wire.generated.peer.Envelope;
import org.vanillatrestle.wire.generated.peer.StreamKey;

/**
 * Hands the messages of a holder to the sender's end of their stream.
 * <p>
 * Stateless and thread safe.
 */
final class OutboundMessages {

	private OutboundMessages() {
	}

	static StreamKey key(Envelope envelope) {
		return switch (envelope.getMessageCase()) {
			case RESPONSE_HEAD -> envelope.getResponseHead().getKey();
			case RESPONSE_FRAME -> envelope.getResponseFrame().getKey();
			case RESPONSE_END -> envelope.getResponseEnd().getKey();
			case NOT_STARTED -> envelope.getNotStarted().getKey();
			case BODY_CREDIT -> envelope.getBodyCredit().getKey();
			default -> StreamKey.getDefaultInstance();
		};
	}

	static void deliver(Envelope envelope, OutboundStream stream) {
		switch (envelope.getMessageCase()) {
			case RESPONSE_HEAD -> stream.head(envelope.getResponseHead());
			case RESPONSE_FRAME -> stream.frame(envelope.getResponseFrame());
			case RESPONSE_END -> stream.end(envelope.getResponseEnd());
			case NOT_STARTED -> stream.notStarted(envelope.getNotStarted());
			case BODY_CREDIT -> stream.bodyCredit(envelope.getBodyCredit());
			default -> {
			}
		}
	}

}
