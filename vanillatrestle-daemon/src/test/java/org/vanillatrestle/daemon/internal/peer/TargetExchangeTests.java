package org.vanillatrestle.daemon.internal.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.ModelName;
import org.vanillatrestle.ServiceKind;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.internal.target.Announcement;
import org.vanillatrestle.internal.target.TargetAddress;
import org.vanillatrestle.internal.target.TargetCapacity;
import org.vanillatrestle.internal.target.TargetLoad;
import org.vanillatrestle.internal.target.TargetRegistry;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link TargetExchange}: announcements relayed from one VM to another.
 */
class TargetExchangeTests {

	private static final DataCentreId DATA_CENTRE = new DataCentreId("dc-1");

	private static final long TTL_MILLIS = 4_000;

	private final List<byte[]> sentPayloads = new ArrayList<>();

	private final TargetRegistry registry = new TargetRegistry(DATA_CENTRE, nanos(TTL_MILLIS));

	private final TargetExchange sender = new TargetExchange(new TargetRegistry(DATA_CENTRE, nanos(TTL_MILLIS)),
			this.sentPayloads::add);

	private final TargetExchange receiver = new TargetExchange(this.registry, (payload) -> {
		throw new AssertionError("An announcement received from a VM must not be relayed.");
	});

	@Test
	void shouldNotExtendTheTimeToLiveByRelaying() throws Exception {
		this.sender.announced(announcement(1, false), nanos(0));
		this.sender.announced(announcement(2, false), nanos(1_000));
		this.sender.flush(nanos(2_500));
		for (byte[] payload : this.sentPayloads) {
			this.receiver.receive(payload, nanos(2_500));
		}
		assertThat(this.registry.liveTargets(nanos(1_000 + TTL_MILLIS))).hasSize(1);
		assertThat(this.registry.liveTargets(nanos(1_001 + TTL_MILLIS))).isEmpty();
	}

	@Test
	void shouldSendNewAndLeavingTargetsImmediatelyAndLoadsInShortForm() {
		this.sender.announced(announcement(1, false), nanos(0));
		this.sender.announced(announcement(2, false), nanos(1_000));
		assertThat(this.sentPayloads).hasSize(1);
		this.sender.flush(nanos(2_000));
		assertThat(this.sentPayloads.get(0)).asString().contains("engine-1", "sheets");
		assertThat(this.sentPayloads.get(1)).hasSizeLessThan(this.sentPayloads.get(0).length / 2)
			.asString()
			.doesNotContain("engine-1", "sheets");
		this.sender.announced(announcement(3, true), nanos(2_100));
		assertThat(this.sentPayloads).hasSize(3);
	}

	@Test
	void shouldSendNewlyLinkedVmsTheLatestAnnouncementWithItsAge() throws Exception {
		this.sender.announced(announcement(1, false), nanos(0));
		this.sender.announced(announcement(2, false), nanos(10_000));
		this.sender.flush(nanos(11_000));
		this.receiver.receive(this.sender.encodeAll(nanos(12_000)), nanos(12_000));
		assertThat(this.registry.liveTargets(nanos(13_900))).extracting(Announcement::sequence).containsExactly(2L);
		assertThat(this.registry.liveTargets(nanos(14_100))).isEmpty();
	}

	private static Announcement announcement(long sequence, boolean leaving) {
		return new Announcement(new TargetId("engine-1"), DATA_CENTRE, 3, sequence, ServiceKind.MODEL, null,
				new ServiceName("sheets"), Set.of(new ModelName("sheet-1")), new TargetAddress("127.0.0.1", 9),
				new TargetCapacity(8, 100, 5, 0), TargetLoad.IDLE, leaving, true);
	}

	private static long nanos(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

}
