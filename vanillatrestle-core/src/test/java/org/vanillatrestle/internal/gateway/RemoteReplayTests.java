package org.vanillatrestle.internal.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;
import java.util.stream.IntStream;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.declaration.DeclaredRoute;
import org.vanillatrestle.internal.declaration.RouteKind;
import org.vanillatrestle.internal.declaration.ServiceShare;
import org.vanillatrestle.internal.fleet.EntryReport;
import org.vanillatrestle.internal.fleet.ServiceWait;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates a region that must forward all of its traffic to another region while that
 * region is cut off or half of its VMs are down. Compares the present rule with the
 * former one, which excluded an unreachable VM for two seconds, and the whole region
 * while two of its VMs were excluded.
 */
class RemoteReplayTests {

	private static final RegionId KOSHI = new RegionId("koshi");

	private static final ServiceName MODEL = new ServiceName("model");

	private static final int VM_COUNT = 4;

	private static final long END_MILLIS = 16_000;

	private static final long CONNECT_TIMEOUT_MILLIS = 600;

	private static final long STEP_MILLIS = 20;

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void shouldLetFewRequestsTimeOutWhileARegionIsCutOffAndUseItSoonAfter(long seed) {
		Replay before = new Replay(seed, new FormerRule(seed), (nowMillis) -> nowMillis >= 2_000 && nowMillis < 12_000,
				VM_COUNT)
			.play();
		Replay after = new Replay(seed, new PresentRule(seed), (nowMillis) -> nowMillis >= 2_000 && nowMillis < 12_000,
				VM_COUNT)
			.play();
		System.out.println("region cut off, seed " + seed + ": " + before + " -> " + after);
		// the requests sent before the first failure is known, 30 per second, half as
		// many again for random variation, and then one probe at a time
		long maxTimedOut = 45 * CONNECT_TIMEOUT_MILLIS / 1_000 + 10_000 / CONNECT_TIMEOUT_MILLIS + 1;
		assertThat(after.timedOut).isLessThan(before.timedOut).isLessThanOrEqualTo((int) maxTimedOut);
		assertThat(after.served).isGreaterThanOrEqualTo(before.served);
		assertThat(after.firstServedAgainMillis).isLessThan(15_000);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void shouldUseTheRemainingVmsWhileHalfOfThemAreDown(long seed) {
		Replay before = new Replay(seed, new FormerRule(seed), (nowMillis) -> nowMillis >= 2_000 && nowMillis < 12_000,
				VM_COUNT / 2)
			.play();
		Replay after = new Replay(seed, new PresentRule(seed), (nowMillis) -> nowMillis >= 2_000 && nowMillis < 12_000,
				VM_COUNT / 2)
			.play();
		System.out.println("half of its VMs gone, seed " + seed + ": " + before + " -> " + after);
		assertThat(after.served).isGreaterThan(before.served * 11 / 10);
		assertThat(after.refused).isLessThan(before.refused / 4);
	}

	/**
	 * A rule by which a VM is chosen for a request.
	 */
	private interface Rule {

		Optional<VmId> choose(long nowMillis);

		/**
		 * Notes a request that was sent.
		 * @return the listener to call once it is known whether the VM was reached
		 */
		OutcomeListener sent(VmId vm);

	}

	private interface OutcomeListener {

		void onOutcome(boolean reached, long nowMillis);

	}

	private record Pending(long knownMillis, boolean reached, OutcomeListener listener) {
	}

	private static final class Replay {

		private final UniformRandomProvider random;

		private final Rule rule;

		private final LongPredicate fault;

		private final int downVms;

		private final Deque<Pending> pending = new ArrayDeque<>();

		private int timedOut;

		private int served;

		private int refused;

		private long firstServedAgainMillis = Long.MAX_VALUE;

		Replay(long seed, Rule rule, LongPredicate fault, int downVms) {
			this.random = RandomSource.SPLIT_MIX_64.create(seed);
			this.rule = rule;
			this.fault = fault;
			this.downVms = downVms;
		}

		Replay play() {
			for (long elapsedMillis = 0; elapsedMillis < END_MILLIS; elapsedMillis += STEP_MILLIS) {
				long nowMillis = elapsedMillis;
				this.pending.removeIf((sent) -> {
					if (sent.knownMillis <= nowMillis) {
						sent.listener.onOutcome(sent.reached, nowMillis);
					}
					return sent.knownMillis <= nowMillis;
				});
				if (this.random.nextDouble() < 0.6) {
					arrive(nowMillis);
				}
			}
			return this;
		}

		private void arrive(long nowMillis) {
			Optional<VmId> chosen = this.rule.choose(nowMillis);
			if (chosen.isEmpty()) {
				this.refused++;
				return;
			}
			boolean isDown = this.fault.test(nowMillis)
					&& Integer.parseInt(chosen.get().value().substring(6)) < this.downVms;
			long knownMillis = nowMillis + (isDown ? CONNECT_TIMEOUT_MILLIS : 160);
			this.pending.add(new Pending(knownMillis, !isDown, this.rule.sent(chosen.get())));
			this.timedOut += isDown ? 1 : 0;
			this.served += isDown ? 0 : 1;
			if (!isDown && nowMillis >= 12_000) {
				this.firstServedAgainMillis = Math.min(this.firstServedAgainMillis, nowMillis);
			}
		}

		@Override
		public String toString() {
			return this.served + " served, " + this.timedOut + " timed out, " + this.refused
					+ " refused, served again at " + this.firstServedAgainMillis + " ms";
		}

	}

	private static final class PresentRule implements Rule {

		private final RemoteEntries remotes;

		private final Map<VmId, RemoteEntries.RemoteChoice> choices = new HashMap<>();

		PresentRule(long seed) {
			this.remotes = new RemoteEntries(new RegionId("bagmati"), RandomSource.SPLIT_MIX_64.create(seed));
			this.remotes.update(IntStream.range(0, VM_COUNT).mapToObj(PresentRule::entry).toList());
		}

		private static EntryReport entry(int number) {
			return new EntryReport(new VmId("koshi-" + number), KOSHI, new DataCentreId("koshi-a"), "127.0.0.1:1",
					"127.0.0.1:2", true, List.of(new ServiceWait(MODEL, 50, 0)));
		}

		@Override
		public Optional<VmId> choose(long nowMillis) {
			DeclaredRoute route = new DeclaredRoute("route", "a.example", "/", RouteKind.IDEMPOTENT, false, 1000, 400,
					800, 0, 2, Set.of(), List.of(new ServiceShare(MODEL, 1)));
			Optional<RemoteEntries.RemoteChoice> choice = this.remotes.choose(route, MODEL, (entry) -> true,
					TimeUnit.MILLISECONDS.toNanos(nowMillis));
			choice.ifPresent((found) -> this.choices.put(found.vm(), found));
			return choice.map(RemoteEntries.RemoteChoice::vm);
		}

		@Override
		public OutcomeListener sent(VmId vm) {
			RemoteEntries.RemoteRequest request = this.remotes.begin(this.choices.get(vm));
			return (reached, nowMillis) -> {
				if (reached) {
					request.answered();
				}
				else {
					request.failed(true, TimeUnit.MILLISECONDS.toNanos(nowMillis));
				}
			};
		}

	}

	private static final class FormerRule implements Rule {

		private static final long EXCLUSION_MILLIS = 2_000;

		private final UniformRandomProvider random;

		private final Map<VmId, Long> excludedSinceMillis = new HashMap<>();

		FormerRule(long seed) {
			this.random = RandomSource.SPLIT_MIX_64.create(seed);
		}

		@Override
		public Optional<VmId> choose(long nowMillis) {
			this.excludedSinceMillis.values().removeIf((sinceMillis) -> nowMillis - sinceMillis > EXCLUSION_MILLIS);
			if (this.excludedSinceMillis.size() >= 2) {
				return Optional.empty();
			}
			List<VmId> usable = IntStream.range(0, VM_COUNT)
				.mapToObj((number) -> new VmId("koshi-" + number))
				.filter((vm) -> !this.excludedSinceMillis.containsKey(vm))
				.toList();
			return Optional.of(usable.get(this.random.nextInt(usable.size())));
		}

		@Override
		public OutcomeListener sent(VmId vm) {
			return (reached, nowMillis) -> {
				if (!reached) {
					this.excludedSinceMillis.put(vm, nowMillis);
				}
			};
		}

	}

}
