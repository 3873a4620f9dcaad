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
 * Decides to which addresses the VM keeps links.
 * <p>
 * Not thread safe: used on the event loop. Links are kept to all VMs of the own data
 * centre, and to some VMs of each other data centre that this VM has a duty or a wish to
 * talk to. Of two VMs that know each other, the one with the lower name connects; seeds
 * are connected to by both.
 */
final class Neighbours {

	private static final int CONTACTS_PER_DATA_CENTRE = 2;

	private final Supplier<PeerIdentity> self;

	private final Consumer<InetSocketAddress> connect;

	private final Consumer<InetSocketAddress> disconnect;

	private final List<Seed> seeds;

	private final Set<InetSocketAddress> always = new HashSet<>();

	private final Set<DataCentreId> wanted = new HashSet<>();

	private Set<InetSocketAddress> kept = Set.of();

	/**
	 * Creates the decision.
	 * @param self gives who this VM is
	 * @param connect keeps a link to an address from now on
	 * @param disconnect gives a link up
	 * @param seeds the VMs named in settings
	 */
	Neighbours(Supplier<PeerIdentity> self, Consumer<InetSocketAddress> connect, Consumer<InetSocketAddress> disconnect,
			List<Seed> seeds) {
		this.self = self;
		this.connect = connect;
		this.disconnect = disconnect;
		this.seeds = seeds;
	}

	/**
	 * Keeps a link to an address, whatever duties there are.
	 * @param address where the VM accepts links
	 */
	void keep(InetSocketAddress address) {
		this.always.add(address);
		this.connect.accept(address);
	}

	void want(DataCentreId dataCentre) {
		this.wanted.add(dataCentre);
	}

	/**
	 * Brings the links in line with what is known.
	 * @param members the VMs of the own data centre
	 * @param duties the data centres to talk to
	 * @param summaries what other data centres say of themselves
	 */
	void update(List<MemberRecord> members, List<DataCentreId> duties, List<DataCentreSummary> summaries) {
		Set<InetSocketAddress> needed = new HashSet<>(this.always);
		addOwn(members, needed);
		Set<DataCentreId> remote = new HashSet<>(duties);
		remote.addAll(this.wanted);
		for (DataCentreId dataCentre : remote) {
			addRemote(dataCentre, summaries, needed);
		}
		this.kept.stream().filter((address) -> !needed.contains(address)).forEach(this.disconnect);
		needed.forEach(this.connect);
		this.kept = needed;
	}

	private void addOwn(List<MemberRecord> members, Set<InetSocketAddress> needed) {
		DataCentreId own = this.self.get().dataCentre();
		this.seeds.stream()
			.filter((seed) -> seed.dataCentre().equals(own))
			.forEach((seed) -> needed.add(seed.address()));
		members.stream()
			.filter((member) -> this.self.get().vm().compareTo(member.vm()) < 0)
			.forEach((member) -> address(member.address()).ifPresent(needed::add));
	}

	private void addRemote(DataCentreId dataCentre, List<DataCentreSummary> summaries, Set<InetSocketAddress> needed) {
		Stream<InetSocketAddress> seeded = this.seeds.stream()
			.filter((seed) -> seed.dataCentre().equals(dataCentre))
			.map(Seed::address);
		Stream<InetSocketAddress> told = summaries.stream()
			.filter((summary) -> summary.dataCentre().equals(dataCentre))
			.flatMap((summary) -> summary.contacts().stream())
			.flatMap((contact) -> address(contact).stream());
		Stream.concat(told, seeded).distinct().limit(CONTACTS_PER_DATA_CENTRE).forEach(needed::add);
	}

	/**
	 * Reads an address that a VM said. Host names are refused, because looking them up
	 * would block.
	 * @param text the address as {@code host:port}
	 * @return the address, empty if it is not valid
	 */
	static Optional<InetSocketAddress> address(String text) {
		int colon = text.lastIndexOf(':');
		if (colon < 1 || !text.substring(colon + 1).matches("[0-9]{1,5}")) {
			return Optional.empty();
		}
		String host = text.substring(0, colon);
		int port = Integer.parseInt(text.substring(colon + 1));
		boolean isNumber = NetUtil.isValidIpV4Address(host) || NetUtil.isValidIpV6Address(host);
		if (!isNumber || port < 1 || port > 65_535) {
			return Optional.empty();
		}
		return Optional.of(new InetSocketAddress(host, port));
	}

}
