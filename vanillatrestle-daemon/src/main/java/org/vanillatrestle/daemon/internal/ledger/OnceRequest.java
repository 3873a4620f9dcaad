package org.vanillatrestle.daemon.internal.ledger;

import java.util.Arrays;

import org.vanillatrestle.wire.PeerException;

/**
 * A question to a data centre's once ledger, as it crosses between VMs.
 * <p>
 * Immutable and thread safe, as long as nobody changes the payload. A relayed question is
 * not relayed again.
 *
 * @param kind what is asked
 * @param relayed whether a VM of the ledger's data centre has passed it on
 * @param payload the encoded command or key
 */
record OnceRequest(Kind kind, boolean relayed, byte[] payload) {

	private static final int HEAD_BYTES = 2;

	byte[] encode() {
		byte[] bytes = new byte[HEAD_BYTES + this.payload.length];
		bytes[0] = (byte) this.kind.ordinal();
		bytes[1] = (byte) (this.relayed ? 1 : 0);
		System.arraycopy(this.payload, 0, bytes, HEAD_BYTES, this.payload.length);
		return bytes;
	}

	static OnceRequest decode(byte[] bytes) throws PeerException {
		if (bytes.length < HEAD_BYTES || bytes[0] < 0 || bytes[0] >= Kind.values().length) {
			throw new PeerException(PeerException.Reason.PROTOCOL, "The question to the once ledger can't be read.");
		}
		return new OnceRequest(Kind.values()[bytes[0]], bytes[1] != 0,
				Arrays.copyOfRange(bytes, HEAD_BYTES, bytes.length));
	}

	OnceRequest asRelayed() {
		return new OnceRequest(this.kind, true, this.payload);
	}

	/**
	 * What is asked.
	 */
	enum Kind {

		/**
		 * To apply a command; a claim in progress is answered at once.
		 */
		COMMAND,

		/**
		 * To apply a claim, and to wait a while if another attempt is in progress.
		 */
		CLAIM_AND_WAIT,

		/**
		 * To tell what is known of a key.
		 */
		STATUS,

		/**
		 * To tell the prefix of keys now issued.
		 */
		PREFIX

	}

}
