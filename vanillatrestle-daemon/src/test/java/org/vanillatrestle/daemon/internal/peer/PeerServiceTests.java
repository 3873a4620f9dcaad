package org.vanillatrestle.daemon.internal.peer;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.ModelName;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.ServiceKind;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.membership.CapacityRow;
import org.vanillatrestle.internal.membership.MembershipEvent;
import org.vanillatrestle.internal.membership.MembershipSettings;
import org.vanillatrestle.internal.membership.RegionReachability;
import org.vanillatrestle.internal.membership.SummarySettings;
import org.vanillatrestle.internal.target.Announcement;
import org.vanillatrestle.internal.target.TargetAddress;
import org.vanillatrestle.internal.target.TargetCapacity;
import org.vanillatrestle.internal.target.TargetLoad;
import org.vanillatrestle.internal.target.TargetRegistry;
import org.vanillatrestle.wire.PeerIdentity;
import org.vanillatrestle.wire.PeerSettings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PeerService}: up to three VMs connected over the loopback interface,
 * in one or two data centres.
 */
class PeerServiceTests {

	private static final ServiceName SERVICE = new ServiceName("sheets");

	private static final ModelName MODEL = new ModelName("sheet-1");

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.group.next();

	private final List<Vm> vms = new ArrayList<>();

	@AfterEach
	void stop() throws Exception {
		for (Vm vm : this.vms) {
			vm.service.stop().get(10, TimeUnit.SECONDS);
		}
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).get(10, TimeUnit.SECONDS);
	}

	@Test
	void shouldDiscoverMembersAndOtherRegionsThroughOneSeed() throws Exception {
		Vm first = start("vm-a1", "dc-1", "bagmati");
		Vm second = start("vm-a2", "dc-1", "bagmati", first);
		Vm remote = start("vm-b1", "dc-2", "koshi", first);
		await(() -> first.service.membership().presentMembers().size() == 1
				&& second.service.membership().presentMembers().size() == 1);
		await(() -> this.vms.stream().allMatch((vm) -> vm.service.summaries().summaries().size() == 1));
		Optional<CapacityRow> row = onLoop(() -> second.service.summaries().summaries().get(0).row(SERVICE, MODEL));
		assertThat(row).hasValueSatisfying((found) -> assertThat(found.freeCapacity()).isEqualTo(17));
		await(() -> first.regionEvents.contains("koshi true") && second.regionEvents.contains("koshi true")
				&& remote.regionEvents.contains("bagmati true"));
	}

	@Test
	void shouldRelayAnnouncementsOnlyWithinTheDataCentre() throws Exception {
		Vm first = start("vm-a1", "dc-1", "bagmati");
		Vm second = start("vm-a2", "dc-1", "bagmati", first);
		Vm remote = start("vm-b1", "dc-2", "koshi", first);
		await(() -> first.service.membership().presentMembers().size() == 1);
		await(() -> !first.service.linkedVms(new DataCentreId("dc-2")).isEmpty());
		onLoop(() -> {
			first.announce(announcement(1, new TargetLoad(1, 0, 5), false));
			first.announce(announcement(2, new TargetLoad(7, 2, 50), false));
			return null;
		});
		await(() -> second.targets().stream().anyMatch((target) -> target.load().running() == 7));
		onLoop(() -> {
			first.announce(announcement(3, new TargetLoad(7, 2, 50), true));
			return null;
		});
		await(() -> second.targets().stream().anyMatch(Announcement::leaving));
		assertThat(onLoop(remote::targets)).isEmpty();
	}

	@Test
	void shouldSendAllTargetsToVmThatJoinsLater() throws Exception {
		Vm first = start("vm-a1", "dc-1", "bagmati");
		onLoop(() -> {
			first.announce(announcement(1, TargetLoad.IDLE, false));
			return null;
		});
		Vm second = start("vm-a2", "dc-1", "bagmati", first);
		await(() -> second.targets().size() == 1);
	}

	@Test
	void shouldPullBookFromVmThatIsAhead() throws Exception {
		Vm first = start("vm-a1", "dc-1", "bagmati");
		Vm second = start("vm-a2", "dc-1", "bagmati", first);
		Vm remote = start("vm-b1", "dc-2", "koshi", second);
		onLoop(() -> remote.book.index = 25);
		await(() -> this.vms.stream().allMatch((vm) -> vm.book.index == 25));
	}

	@Test
	void shouldReportMembersThatLeaveAndDie() throws Exception {
		Vm first = start("vm-a1", "dc-1", "bagmati");
		Vm second = start("vm-a2", "dc-1", "bagmati", first);
		Vm third = start("vm-a3", "dc-1", "bagmati", first);
		await(() -> this.vms.stream().allMatch((vm) -> vm.service.membership().presentMembers().size() == 2));
		onLoop(() -> {
			third.service.leave();
			return null;
		});
		await(() -> first.memberEvents.contains("LEFT vm-a3") && second.memberEvents.contains("LEFT vm-a3"));
		second.service.stop().get(10, TimeUnit.SECONDS);
		await(() -> first.memberEvents.contains("DIED vm-a2"));
		assertThat(first.memberEvents).containsSubsequence("SUSPECTED vm-a2", "DIED vm-a2")
			.doesNotContain("DIED vm-a3");
	}

	private Vm start(String name, String dataCentre, String region, Vm... seeds) throws Exception {
		Vm vm = new Vm(name, dataCentre, region, seeds);
		this.vms.add(vm);
		vm.address = vm.service.start().get(10, TimeUnit.SECONDS);
		return vm;
	}

	private <T> T onLoop(Callable<T> action) throws Exception {
		return this.loop.submit(action).get(10, TimeUnit.SECONDS);
	}

	private void await(Callable<Boolean> condition) throws Exception {
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
		while (!onLoop(condition)) {
			if (System.nanoTime() > deadlineNanos) {
				throw new AssertionError("The condition was not met within 20 seconds.");
			}
			Thread.sleep(10);
		}
	}

	private static Announcement announcement(long sequence, TargetLoad load, boolean leaving) {
		return new Announcement(new TargetId("engine-1"), new DataCentreId("dc-1"), 3, sequence, ServiceKind.MODEL,
				null, SERVICE, Set.of(MODEL), new TargetAddress("127.0.0.1", 9), new TargetCapacity(8, 100, 5, 0), load,
				leaving, true);
	}

	/**
	 * A VM that runs a peer service and records its membership and region events.
	 */
	private final class Vm implements PeerEvents {

		private final FakeBook book = new FakeBook();

		private final List<String> memberEvents = new ArrayList<>();

		private final List<String> regionEvents = new ArrayList<>();

		private final PeerIdentity identity;

		private final TargetRegistry registry;

		private final PeerService service;

		private InetSocketAddress address;

		Vm(String name, String dataCentre, String region, Vm... seeds) throws Exception {
			this.identity = new PeerIdentity(new VmId(name), new DataCentreId(dataCentre), new RegionId(region), 1, "");
			this.registry = new TargetRegistry(this.identity.dataCentre(), TimeUnit.MINUTES.toNanos(1));
			List<Seed> seedList = new ArrayList<>();
			for (Vm seed : seeds) {
				seedList.add(new Seed(seed.address, seed.identity.dataCentre(), seed.identity.region()));
			}
			MembershipSettings membership = new MembershipSettings(TimeUnit.MILLISECONDS.toNanos(250), 2,
					TimeUnit.SECONDS.toNanos(1), TimeUnit.SECONDS.toNanos(1), TimeUnit.SECONDS.toNanos(15),
					TimeUnit.HOURS.toNanos(1), 512);
			PeerServiceSettings settings = new PeerServiceSettings(this.identity, 1,
					new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), seedList, null, PeerSettings.defaults(),
					membership, SummarySettings.defaults());
			this.service = new PeerService(PeerServiceTests.this.loop, settings, (exchange) -> null, this.book,
					this.registry, () -> List.of(new CapacityRow(CapacityRow.key(SERVICE, MODEL), 17, 3, 4)), this,
					RandomSource.SPLIT_MIX_64.create(1L));
		}

		void announce(Announcement announcement) {
			this.registry.announce(announcement, System.nanoTime());
			this.service.announced(announcement);
		}

		List<Announcement> targets() {
			return List.copyOf(this.registry.liveTargets(System.nanoTime()));
		}

		@Override
		public void memberChanged(MembershipEvent event) {
			this.memberEvents.add(event.kind() + " " + event.member().vm());
		}

		@Override
		public void regionChanged(RegionReachability reachability) {
			this.regionEvents.add(reachability.region() + " " + reachability.reachable());
		}

	}

	/**
	 * A contract book whose entries are consecutive numbers. A pull returns at most ten
	 * entries.
	 */
	private static final class FakeBook implements BookPort {

		private long index;

		@Override
		public long appliedIndex() {
			return this.index;
		}

		@Override
		public long nextPullIndex() {
			return this.index;
		}

		@Override
		public byte[] entriesAfter(long afterIndex, int maxBytes) {
			long lastIndex = Math.min(afterIndex + 10, this.index);
			return ByteBuffer.allocate(16).putLong(lastIndex).putLong(this.index).array();
		}

		@Override
		public boolean offer(byte[] entries) {
			ByteBuffer buffer = ByteBuffer.wrap(entries);
			this.index = Math.max(this.index, buffer.getLong());
			return this.index < buffer.getLong();
		}

	}

}
