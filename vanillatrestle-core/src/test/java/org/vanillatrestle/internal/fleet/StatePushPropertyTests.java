package org.vanillatrestle.internal.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.vanillatrestle.VmId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Any series of changes reaches an entry VM in time from the control VMs that are up to
 * date, whichever minority of them lags.
 */
class StatePushPropertyTests {

	private static final int APPLY_MILLIS = 3_000;

	private static final int STEP_MILLIS = 5;

	private static final int BEAT_MILLIS = 250;

	// control VMs beyond the second get every second heartbeat
	private static final int FOLLOWED = 2;

	private static final int MAX_TRANSIT_MILLIS = 100;

	private static final int MAX_REPLICATION_MILLIS = 250;

	/**
	 * The state that all VMs have at first.
	 */
	private static final long FIRST_INDEX = 1;

	private static final VmId ENTRY = new VmId("edge-1");

	@Property(seed = "51", tries = 400)
	void shouldBringEachChangeToEntryVmInTimeWhicheverMinorityLags(
			@ForAll @Size(min = 1, max = 40) List<@IntRange(min = 20, max = 1_500) Integer> gapsMillis,
			@ForAll @IntRange(min = 1, max = 4) int tolerated, @ForAll @LongRange(min = 0) long seed) {
		UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
		Simulation simulation = new Simulation(2 * tolerated + 1, drawLagging(tolerated, random), -1, random);
		simulation.play(gapsMillis);
		assertThat(simulation.longestMillis()).isLessThanOrEqualTo(APPLY_MILLIS);
	}

	@Property(seed = "52", tries = 400)
	void shouldBringEachChangeToEntryVmInTimeAlthoughOneCopyIsLost(
			@ForAll @Size(min = 1, max = 40) List<@IntRange(min = 20, max = 1_500) Integer> gapsMillis,
			@ForAll @IntRange(min = 1, max = 4) int tolerated, @ForAll @IntRange(max = 20) int lostCopy,
			@ForAll @LongRange(min = 0) long seed) {
		UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
		Simulation simulation = new Simulation(2 * tolerated + 1, drawLagging(tolerated, random), lostCopy, random);
		simulation.play(gapsMillis);
		assertThat(simulation.longestMillis()).isLessThanOrEqualTo(APPLY_MILLIS);
	}

	@Property(seed = "53", tries = 200)
	void shouldSendCopiesOnlyFromNearestControlVmWhileNoneLags(
			@ForAll @Size(min = 1, max = 40) List<@IntRange(min = 20, max = 1_500) Integer> gapsMillis,
			@ForAll @IntRange(min = 1, max = 4) int tolerated, @ForAll @LongRange(min = 0) long seed) {
		UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
		Simulation simulation = new Simulation(2 * tolerated + 1, Set.of(), -1, random);
		simulation.play(gapsMillis);
		assertThat(simulation.copiesFromOthers).isZero();
		assertThat(simulation.copies).isLessThanOrEqualTo(gapsMillis.size());
	}

	private static Set<Integer> drawLagging(int most, UniformRandomProvider random) {
		int count = random.nextInt(most + 1);
		return IntStream.range(0, count).mapToObj((i) -> random.nextInt(2 * most + 1)).collect(Collectors.toSet());
	}

	/**
	 * Control VMs and one entry VM that exchange messages with delays.
	 */
	private static final class Simulation {

		private final List<ControlVm> controlVms = new ArrayList<>();

		private final List<Message> messages = new ArrayList<>();

		private final UniformRandomProvider random;

		private final int lostCopy;

		// by the number of the change
		private final List<Integer> firstAppliedMillis = new ArrayList<>();

		private final List<Integer> inForceMillis = new ArrayList<>();

		private int nowMillis;

		private int copies;

		private int copiesFromOthers;

		Simulation(int count, Set<Integer> lagging, int lostCopy, UniformRandomProvider random) {
			this.lostCopy = lostCopy;
			this.random = random;
			for (int rank = 0; rank < count; rank++) {
				this.controlVms
					.add(new ControlVm(rank, lagging.contains(rank), 1 + random.nextInt(MAX_TRANSIT_MILLIS)));
			}
		}

		void play(List<Integer> gapsMillis) {
			int changeMillis = 0;
			for (int i = 0; i < gapsMillis.size(); i++) {
				changeMillis += gapsMillis.get(i);
				long index = FIRST_INDEX + i + 1;
				int firstMillis = Integer.MAX_VALUE;
				for (ControlVm vm : this.controlVms) {
					if (!vm.lagging) {
						int appliedMillis = changeMillis + this.random.nextInt(MAX_REPLICATION_MILLIS);
						firstMillis = Math.min(firstMillis, appliedMillis);
						this.messages.add(new Message(appliedMillis, () -> vm.apply(index)));
					}
				}
				this.firstAppliedMillis.add(firstMillis);
			}
			int endMillis = changeMillis + MAX_REPLICATION_MILLIS + 2 * APPLY_MILLIS;
			for (this.nowMillis = 0; this.nowMillis <= endMillis; this.nowMillis += STEP_MILLIS) {
				deliver();
				if (this.nowMillis % BEAT_MILLIS == 0) {
					sendBeats(this.nowMillis / BEAT_MILLIS);
				}
			}
		}

		private void deliver() {
			List<Message> due = this.messages.stream().filter((message) -> message.atMillis <= this.nowMillis).toList();
			this.messages.removeAll(due);
			due.forEach((message) -> message.action.run());
		}

		private void sendBeats(int beat) {
			long known = FIRST_INDEX + this.inForceMillis.size();
			for (ControlVm vm : this.controlVms) {
				if (vm.rank < FOLLOWED || beat % 2 == 0) {
					this.messages.add(new Message(this.nowMillis + vm.transitMillis, () -> vm.receiveBeat(known)));
				}
			}
		}

		private void send(ControlVm from, long index) {
			boolean isLost = this.copies == this.lostCopy;
			this.copies++;
			this.copiesFromOthers += (from.rank > 0) ? 1 : 0;
			if (!isLost) {
				this.messages.add(new Message(this.nowMillis + from.transitMillis, () -> putInForce(index)));
			}
		}

		private void putInForce(long index) {
			while (FIRST_INDEX + this.inForceMillis.size() < index) {
				this.inForceMillis.add(this.nowMillis);
			}
		}

		int longestMillis() {
			assertThat(this.inForceMillis).as("changes in force").hasSameSizeAs(this.firstAppliedMillis);
			return IntStream.range(0, this.inForceMillis.size())
				.map((i) -> this.inForceMillis.get(i) - this.firstAppliedMillis.get(i))
				.max()
				.orElse(0);
		}

		/**
		 * A control VM that follows the changes, or none of them.
		 */
		private final class ControlVm {

			private final StatePushScheduler scheduler = new StatePushScheduler();

			private final int rank;

			private final boolean lagging;

			private final int transitMillis;

			private long index = FIRST_INDEX;

			// of the entry VM's last heartbeat
			private long knownIndex = FIRST_INDEX;

			ControlVm(int rank, boolean lagging, int transitMillis) {
				this.rank = rank;
				this.lagging = lagging;
				this.transitMillis = transitMillis;
			}

			void apply(long newIndex) {
				if (newIndex > this.index) {
					this.index = newIndex;
					this.scheduler.stateChanged(newIndex, nowNanos());
					sendIfDue();
				}
			}

			void receiveBeat(long known) {
				this.knownIndex = known;
				sendIfDue();
			}

			private void sendIfDue() {
				if (this.scheduler.isDue(ENTRY, this.rank, this.knownIndex, nowNanos())) {
					send(this, this.index);
				}
			}

			private long nowNanos() {
				return Simulation.this.nowMillis * 1_000_000L;
			}

		}

		/**
		 * What happens at a moment.
		 */
		private record Message(int atMillis, Runnable action) {
		}

	}

}
