package org.vanillatrestle.daemon.internal.peer;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.VmId;
import org.vanillatrestle.wire.PeerIdentity;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LinkSelector}.
 */
class LinkSelectorTests {

	private static final PeerIdentity SELF = new PeerIdentity(new VmId("vm-1"), new DataCentreId("dc-a"),
			new RegionId("a"), 1, "127.0.0.1:1");

	private static final DataCentreId OTHER_DATA_CENTRE = new DataCentreId("dc-b");

	private static final InetSocketAddress OTHER_VM = new InetSocketAddress("127.0.0.2", 2);

	private final Set<InetSocketAddress> links = new HashSet<>();

	private final LinkSelector linkSelector = new LinkSelector(() -> SELF, this.links::add, this.links::remove,
			List.of(new Seed(OTHER_VM, OTHER_DATA_CENTRE, new RegionId("b"))));

	@Test
	void shouldCloseLinksToDataCentresThatAreNoLongerAssigned() {
		this.linkSelector.update(List.of(), List.of(OTHER_DATA_CENTRE), List.of());
		assertThat(this.links).containsExactly(OTHER_VM);
		this.linkSelector.update(List.of(), List.of(), List.of());
		assertThat(this.links).isEmpty();
	}

	@Test
	void shouldKeepPermanentLinksWhenDataCentreIsNoLongerAssigned() {
		this.linkSelector.keepLink(OTHER_VM);
		this.linkSelector.update(List.of(), List.of(OTHER_DATA_CENTRE), List.of());
		this.linkSelector.update(List.of(), List.of(), List.of());
		assertThat(this.links).containsExactly(OTHER_VM);
	}

	@Test
	void shouldLinkToRequestedDataCentres() {
		this.linkSelector.requestLinks(OTHER_DATA_CENTRE);
		this.linkSelector.update(List.of(), List.of(), List.of());
		assertThat(this.links).containsExactly(OTHER_VM);
	}

}
