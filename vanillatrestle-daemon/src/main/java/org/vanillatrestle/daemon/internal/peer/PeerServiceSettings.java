package org.vanillatrestle.daemon.internal.peer;

import java.net.InetSocketAddress;
import java.util.List;

import org.vanillatrestle.internal.membership.MembershipSettings;
import org.vanillatrestle.internal.membership.SummarySettings;
import org.vanillatrestle.wire.PeerIdentity;
import org.vanillatrestle.wire.PeerSettings;
import org.vanillatrestle.wire.TlsSettings;

/**
 * What a VM's settings say of its peers.
 * <p>
 * Immutable and thread safe.
 *
 * @param identity who this VM is; an empty address is replaced by the one bound
 * @param roles the daemon's roles as bits
 * @param bindAddress where to accept links, port 0 for any
 * @param seeds other VMs
 * @param tls the files for mutual TLS, {@code null} for none
 * @param link limits and times of links
 * @param membership times and limits within the data centre
 * @param summary times and limits between data centres
 */
public record PeerServiceSettings(PeerIdentity identity, int roles, InetSocketAddress bindAddress, List<Seed> seeds,
		TlsSettings tls, PeerSettings link, MembershipSettings membership, SummarySettings summary) {

	public PeerServiceSettings {
		seeds = List.copyOf(seeds);
	}

	/**
	 * Returns settings with the default limits and times, without TLS.
	 * @param identity who this VM is
	 * @param roles the daemon's roles as bits
	 * @param bindAddress where to accept links
	 * @param seeds other VMs
	 * @return the settings
	 */
	public static PeerServiceSettings of(PeerIdentity identity, int roles, InetSocketAddress bindAddress,
			List<Seed> seeds) {
		return new PeerServiceSettings(identity, roles, bindAddress, seeds, null, PeerSettings.defaults(),
				MembershipSettings.defaults(), SummarySettings.defaults());
	}

}
