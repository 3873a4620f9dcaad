package org.vanillatrestle.daemon.internal.ledger;

import java.util.Arrays;

import org.vanillatrestle.wire.PeerException;

/**
 * A request to a data centre's once ledger, as sent between VMs.
 * <p>
 * Immutable and thread safe, as long as the payload array is not modified. A relayed
 * request is not relayed again.
 *
 * @param kind the kind of request
 * @param relayed whether a VM of the ledger's data centre has already forwarded the
 * request
 * @param payload the encoded command or key; empty for {@link Kind#PREFIX}
 */
record OnceRequest(Kind kind, boolean relayed, byte[] payload) {

	private static final int HEADER_BYTES = 2;

	byte[] encode() {
		byte[] bytes = new byte[HEADER_BYTES + this.payload.length];
		bytes[0] = (byte) this.kind.ordinal();
		bytes[1] = (byte) (this.relayed ? 1 : 0);
		System.arraycopy(this.payload, 0, bytes, HEADER_BYTES, this.payload.length);
		return bytes;
	}

	static OnceRequest decode(byte[] bytes) throws PeerException {
		if (bytes.length < HEADER_BYTES || bytes[0] < 0 || bytes[0] >= Kind.values().length) {
			throw new PeerException(PeerException.Reason.PROTOCOL, "The request to the once ledger can't be decoded.");
		}
		return new OnceRequest(Kind.values()[bytes[0]], bytes[1] != 0,
				Arrays.copyOfRange(bytes, HEADER_BYTES, bytes.length));
	}

	OnceRequest asRelayed() {
		return new OnceRequest(this.kind, true, this.payload);
	}

	/**
	 * The kind of a request. The ordinals are part of the encoding.
	 */
	enum Kind {

		/**
		 * Applies a command. If it is a claim and another attempt is in progress, the
		 * reply is sent without waiting.
		 */
		COMMAND,

		/**
		 * Applies a claim. If another attempt is in progress, waits until it is settled,
		 * but only for a limited time.
		 */
		CLAIM_AND_WAIT,

		/**
		 * Returns what the ledger knows about a key.
		 */
		STATUS,

		/**
		 * Returns the prefix of the keys that are currently issued.
		 */
		PREFIX

	}

}
