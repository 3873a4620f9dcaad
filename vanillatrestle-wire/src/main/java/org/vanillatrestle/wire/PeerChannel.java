package org.vanillatrestle.wire;

import org.vanillatrestle.wire.generated.peer.Channel;

/**
 * The part of the daemon that a datagram or call is for.
 * <p>
 * Immutable and thread safe.
 */
public enum PeerChannel {

	/**
	 * Messages of a replicated log.
	 */
	LOG(Channel.LOG),

	/**
	 * Committed entries of the contract book.
	 */
	BOOK(Channel.BOOK),

	/**
	 * Heartbeats within a data centre.
	 */
	MEMBERSHIP(Channel.MEMBERSHIP),

	/**
	 * Announcements of targets.
	 */
	TARGETS(Channel.TARGETS),

	/**
	 * Shares of limits.
	 */
	SHARES(Channel.SHARES),

	/**
	 * Summaries between data centres.
	 */
	SUMMARY(Channel.SUMMARY),

	/**
	 * Claims of the once ledger.
	 */
	ONCE(Channel.ONCE),

	/**
	 * Questions of operators about other VMs.
	 */
	STATUS(Channel.STATUS),

	/**
	 * Beats of VMs, reports of targets and declared state.
	 */
	FLEET(Channel.FLEET),

	/**
	 * Changes and reads of the declared state, for the leader.
	 */
	DECLARATION(Channel.DECLARATION);

	private final Channel code;

	PeerChannel(Channel code) {
		this.code = code;
	}

	/**
	 * Returns the form used on the wire.
	 * @return the code
	 */
	public Channel code() {
		return this.code;
	}

	/**
	 * Finds a channel by its form on the wire.
	 * @param code the code
	 * @return the channel, or {@code null} if this version doesn't know it
	 */
	public static PeerChannel of(Channel code) {
		for (PeerChannel channel : values()) {
			if (channel.code == code) {
				return channel;
			}
		}
		return null;
	}

}
