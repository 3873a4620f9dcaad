package org.vanillatrestle.daemon.internal.peer;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Stream;

import io.netty.util.NetUtil;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.internal.membership.DataCentreSummary;
import org.vanillatrestle.internal.membership.MemberRecord;
import org.vanillatrestle.wire.PeerIdentity;

/**
 * Decides which addresses the VM keeps links to.
 * <p>
 * Not thread safe: used on the event loop. The VM keeps links to all VMs of its own data
 * centre, and to a few VMs of each other data centre that is assigned to this VM or was
 * requested with {@link #requestLinks}. Of two VMs that know each other, the one with the
 * lower name opens the link. Links to seeds are opened regardless of the names.
 */
final class LinkSelector {

	private static final int MAX_LINKS_PER_DATA_CENTRE = 2;

	private final Supplier<PeerIdentity> self;

	private final Consumer<InetSocketAddress> connect;

	private final Consumer<InetSocketAddress> disconnect;

	private final List<Seed> seeds;

	private final Set<InetSocketAddress> permanent = new HashSet<>();

	private final Set<DataCentreId> requested = new HashSet<>();

	private Set<InetSocketAddress> linked = Set.of();

	/**
	 * Creates an instance without links.
	 * @param self supplies the identity of this VM
	 * @param connect opens a link to an address and keeps it open
	 * @param disconnect closes the link to an address
	 * @param seeds the seed VMs from the settings
	 */
	LinkSelector(Supplier<PeerIdentity> self, Consumer<InetSocketAddress> connect,
			Consumer<InetSocketAddress> disconnect, List<Seed> seeds) {
		this.self = self;
		this.connect = connect;
		this.disconnect = disconnect;
		this.seeds = seeds;
	}

	/**
	 * Keeps a link to an address, whichever data centres are assigned to this VM.
	 * @param address the address at which the other VM accepts links
	 */
	void keepLink(InetSocketAddress address) {
		this.permanent.add(address);
		this.connect.accept(address);
	}

	void requestLinks(DataCentreId dataCentre) {
		this.requested.add(dataCentre);
	}

	/**
	 * Opens and closes links to match the known members and data centres.
	 * @param members the VMs of this VM's data centre
	 * @param assigned the data centres assigned to this VM
	 * @param summaries the latest summaries of other data centres
	 */
	void update(List<MemberRecord> members, List<DataCentreId> assigned, List<DataCentreSummary> summaries) {
		Set<InetSocketAddress> needed = new HashSet<>(this.permanent);
		addOwnDataCentre(members, needed);
		Set<DataCentreId> remote = new HashSet<>(assigned);
		remote.addAll(this.requested);
		for (DataCentreId dataCentre : remote) {
			addRemoteDataCentre(dataCentre, summaries, needed);
		}
		this.linked.stream().filter((address) -> !needed.contains(address)).forEach(this.disconnect);
		needed.forEach(this.connect);
		this.linked = needed;
	}

	private void addOwnDataCentre(List<MemberRecord> members, Set<InetSocketAddress> needed) {
		DataCentreId ownDataCentre = this.self.get().dataCentre();
		this.seeds.stream()
			.filter((seed) -> seed.dataCentre().equals(ownDataCentre))
			.forEach((seed) -> needed.add(seed.address()));
		members.stream()
			.filter((member) -> this.self.get().vm().compareTo(member.vm()) < 0)
			.forEach((member) -> parseAddress(member.address()).ifPresent(needed::add));
	}

	private void addRemoteDataCentre(DataCentreId dataCentre, List<DataCentreSummary> summaries,
			Set<InetSocketAddress> needed) {
		Stream<InetSocketAddress> seedAddresses = this.seeds.stream()
			.filter((seed) -> seed.dataCentre().equals(dataCentre))
			.map(Seed::address);
		Stream<InetSocketAddress> contacts = summaries.stream()
			.filter((summary) -> summary.dataCentre().equals(dataCentre))
			.flatMap((summary) -> summary.contacts().stream())
			.flatMap((contact) -> parseAddress(contact).stream());
		Stream.concat(contacts, seedAddresses).distinct().limit(MAX_LINKS_PER_DATA_CENTRE).forEach(needed::add);
	}

	/**
	 * Parses an address that another VM reported. Host names are rejected, because
	 * resolving them would block the event loop.
	 * @param text the address as {@code host:port}
	 * @return the address, empty if the text is not a valid IP address and port
	 */
	static Optional<InetSocketAddress> parseAddress(String text) {
		int colon = text.lastIndexOf(':');
		if (colon < 1 || !text.substring(colon + 1).matches("[0-9]{1,5}")) {
			return Optional.empty();
		}
		String host = text.substring(0, colon);
		int port = Integer.parseInt(text.substring(colon + 1));
		boolean isIpAddress = NetUtil.isValidIpV4Address(host) || NetUtil.isValidIpV6Address(host);
		if (!isIpAddress || port < 1 || port > 65_535) {
			return Optional.empty();
		}
		return Optional.of(new InetSocketAddress(host, port));
	}

}
