package org.vanillatrestle.daemon.internal.peer;

import java.net.InetSocketAddress;
import java.util.List;

import org.vanillatrestle.internal.membership.MembershipSettings;
import org.vanillatrestle.internal.membership.SummarySettings;
import org.vanillatrestle.wire.PeerIdentity;
import org.vanillatrestle.wire.PeerSettings;
import org.vanillatrestle.wire.TlsSettings;

/**
 * Settings of a VM's {@link PeerService}.
 * <p>
 * Immutable and thread safe.
 *
 * @param identity the identity of this VM; an empty address is replaced by the bound one
 * @param roles the daemon's roles as a bit set
 * @param bindAddress the address to accept links at, with port 0 for any free port
 * @param seeds the VMs to discover others from
 * @param tls the files for mutual TLS, {@code null} for no TLS
 * @param link the limits and intervals of links
 * @param membership the intervals and limits of membership within the data centre
 * @param summary the intervals and limits of summaries between data centres
 */
public record PeerServiceSettings(PeerIdentity identity, int roles, InetSocketAddress bindAddress, List<Seed> seeds,
		TlsSettings tls, PeerSettings link, MembershipSettings membership, SummarySettings summary) {

	public PeerServiceSettings {
		seeds = List.copyOf(seeds);
	}

	/**
	 * Returns settings with the default limits and intervals, without TLS.
	 * @param identity the identity of this VM
	 * @param roles the daemon's roles as a bit set
	 * @param bindAddress the address to accept links at
	 * @param seeds the VMs to discover others from
	 * @return the settings
	 */
	public static PeerServiceSettings of(PeerIdentity identity, int roles, InetSocketAddress bindAddress,
			List<Seed> seeds) {
		return new PeerServiceSettings(identity, roles, bindAddress, seeds, null, PeerSettings.defaults(),
				MembershipSettings.defaults(), SummarySettings.defaults());
	}

}
