package org.vanillatrestle.internal.once;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.OnceKey;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.once.LedgerOutcome.AlreadyAnswered;
import org.vanillatrestle.internal.once.LedgerOutcome.Granted;
import org.vanillatrestle.internal.once.LedgerOutcome.MayHaveRun;
import org.vanillatrestle.internal.once.LedgerOutcome.NotGranted;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Stateful fuzz tests for {@link OnceLedger}.
 * <p>
 * They guard against a call that runs twice under the same key. Callers resend; holders
 * crash, miss outcomes and release late; commands are duplicated and reordered; the
 * ledger restarts and loses its disk. The simulated target counts the runs of each key;
 * every grant and every stored answer is checked against them, and no key may run more
 * than once.
 */
class OnceLedgerFuzzTests {

	private static final int STEPS = 400;

	private static final LedgerLimits LIMITS = new LedgerLimits(20, 12, 60, 500, 60);

	@Property(seed = "4713", tries = 300, shrinking = ShrinkingMode.OFF)
	void shouldRunEachKeyAtMostOnce(@ForAll long seed) {
		Simulation simulation = new Simulation(new Random(seed));
		for (int i = 0; i < STEPS; i++) {
			simulation.step();
		}
		assertThat(simulation.runs.values()).allMatch((runs) -> runs == 1);
		assertThat(simulation.runs).isNotEmpty();
	}

	/**
	 * Simulates the ledger, the VMs that hold claims, and the target, which counts the
	 * runs of each key.
	 */
	private static final class Simulation {

		private final Random random;

		private final Map<OnceKey, Integer> runs = new HashMap<>();

		private final Map<OnceKey, Integer> answeringAttempts = new HashMap<>();

		private final Map<OnceKey, Long> firstSentMillis = new HashMap<>();

		private final List<Attempt> attempts = new ArrayList<>();

		private final List<LedgerCommand> delayedCommands = new ArrayList<>();

		private final Map<String, Long> incarnations = new HashMap<>();

		private OnceLedger ledger;

		private long index;

		private long nowMillis;

		private long nextGeneration = 1;

		Simulation(Random random) {
			this.random = random;
			newLedger(false);
		}

		private void newLedger(boolean afterLoss) {
			this.ledger = emptyLedger();
			this.index = 0;
			this.delayedCommands.clear();
			apply(new LedgerCommand.Open(this.nextGeneration, afterLoss));
			this.nextGeneration += 1_000_000;
		}

		private static OnceLedger emptyLedger() {
			return new OnceLedger(new DataCentreId("bagmati-1"), LIMITS, (key) -> {
			});
		}

		private LedgerOutcome apply(LedgerCommand command) {
			LedgerOutcome outcome = this.ledger.apply(++this.index, command);
			assertThat(this.ledger.size()).isLessThanOrEqualTo(LIMITS.maxRecords());
			assertThat(this.ledger.answersBytes()).isLessThanOrEqualTo(LIMITS.maxAnswersBytes());
			return outcome;
		}

		void step() {
			int percent = this.random.nextInt(100);
			if (percent < 15) {
				send();
			}
			else if (percent < 45) {
				claim();
			}
			else if (percent < 70) {
				advanceAttempt();
			}
			else if (percent < 85) {
				applyDelayedCommand();
			}
			else if (percent < 93) {
				advanceTime();
			}
			else if (percent < 95) {
				crash("entry-" + this.random.nextInt(3));
			}
			else if (percent < 99 || this.random.nextInt(4) > 0) {
				restart();
			}
			else {
				newLedger(true);
			}
		}

		private void send() {
			OnceKey key = key();
			this.firstSentMillis.putIfAbsent(key, this.nowMillis);
			if (isTooOld(key)) {
				return;
			}
			String vm = "entry-" + this.random.nextInt(3);
			this.attempts.add(new Attempt(key, this.attempts.size(), vm, incarnation(vm)));
		}

		private OnceKey key() {
			if (!this.firstSentMillis.isEmpty() && this.random.nextInt(3) > 0) {
				List<OnceKey> known = new ArrayList<>(this.firstSentMillis.keySet());
				return known.get(this.random.nextInt(known.size()));
			}
			String prefix = this.random.nextBoolean() ? this.ledger.issuedPrefix().orElseThrow() : "opaque-";
			return LedgerCommands.key(prefix + this.firstSentMillis.size());
		}

		private boolean isTooOld(OnceKey key) {
			boolean opaque = key.key().startsWith("opaque-");
			return opaque && this.nowMillis - this.firstSentMillis.get(key) >= LIMITS.retentionMillis();
		}

		private long incarnation(String vm) {
			return this.incarnations.getOrDefault(vm, 1L);
		}

		private Optional<Attempt> randomLiveAttempt() {
			List<Attempt> live = this.attempts.stream().filter((attempt) -> attempt.step != Step.ENDED).toList();
			return live.isEmpty() ? Optional.empty() : Optional.of(live.get(this.random.nextInt(live.size())));
		}

		private void claim() {
			Attempt attempt = randomLiveAttempt().orElse(null);
			if (attempt == null || attempt.step != Step.ASKING || isTooOld(attempt.key)) {
				return;
			}
			this.delayedCommands.add(attempt.claim());
			if (this.random.nextInt(4) > 0) {
				LedgerOutcome outcome = apply(attempt.claim());
				check(attempt, outcome);
				if (this.random.nextInt(4) > 0) {
					attempt.handleOutcome(outcome);
				}
			}
		}

		private void check(Attempt attempt, LedgerOutcome outcome) {
			if (outcome instanceof AlreadyAnswered stored) {
				int run = this.answeringAttempts.get(attempt.key);
				assertThat(stored.answer()).isEqualTo(LedgerCommands.storedAnswer("a" + run));
			}
			if (outcome instanceof Granted) {
				assertThat(this.runs).doesNotContainKey(attempt.key);
			}
		}

		private void advanceAttempt() {
			Attempt attempt = randomLiveAttempt().orElse(null);
			if (attempt == null) {
				return;
			}
			if (attempt.step == Step.SENT) {
				end(attempt);
			}
			else if (attempt.step == Step.GRANTED && this.random.nextInt(3) > 0) {
				run(attempt);
			}
			else if (this.random.nextInt(4) == 0) {
				attempt.step = Step.ENDED;
				applyOrDelay(new LedgerCommand.Release(attempt.key, attempt.id()));
			}
		}

		private void run(Attempt attempt) {
			attempt.step = Step.SENT;
			this.runs.merge(attempt.key, 1, Integer::sum);
			this.answeringAttempts.put(attempt.key, attempt.number);
		}

		private void end(Attempt attempt) {
			attempt.step = Step.ENDED;
			if (this.random.nextInt(3) > 0) {
				applyOrDelay(LedgerCommands.answer(attempt.key.key(), attempt.number, "a" + attempt.number));
			}
			else {
				applyOrDelay(new LedgerCommand.Abandon(attempt.key, attempt.id()));
			}
		}

		private void applyOrDelay(LedgerCommand command) {
			if (this.random.nextInt(3) > 0) {
				apply(command);
			}
			if (this.random.nextInt(2) > 0) {
				this.delayedCommands.add(command);
			}
		}

		private void applyDelayedCommand() {
			if (this.delayedCommands.isEmpty()) {
				return;
			}
			int i = this.random.nextInt(this.delayedCommands.size());
			apply(this.delayedCommands.get(i));
			if (this.random.nextInt(3) > 0) {
				this.delayedCommands.remove(i);
			}
		}

		private void advanceTime() {
			long elapsedMillis = this.random.nextInt(40);
			this.nowMillis += elapsedMillis;
			if (this.random.nextInt(5) > 0) {
				apply(new LedgerCommand.Tick(elapsedMillis));
			}
		}

		private void crash(String vm) {
			long next = incarnation(vm) + 1;
			this.incarnations.put(vm, next);
			this.attempts.stream().filter((attempt) -> attempt.vm.equals(vm)).forEach(Attempt::end);
			applyOrDelay(new LedgerCommand.AbandonHolder(new VmId(vm), next));
		}

		private void restart() {
			OnceSnapshot snapshot = this.ledger.snapshot();
			this.ledger = emptyLedger();
			this.ledger.restore(snapshot);
			assertThat(this.ledger.snapshot()).isEqualTo(snapshot);
		}

	}

	private enum Step {

		ASKING, GRANTED, SENT, ENDED

	}

	private static final class Attempt {

		private final OnceKey key;

		private final int number;

		private final String vm;

		private final long incarnation;

		private Step step = Step.ASKING;

		Attempt(OnceKey key, int number, String vm, long incarnation) {
			this.key = key;
			this.number = number;
			this.vm = vm;
			this.incarnation = incarnation;
		}

		AttemptId id() {
			return LedgerCommands.attempt(this.number);
		}

		LedgerCommand.Claim claim() {
			return new LedgerCommand.Claim(this.key, new RequestDigest(1, 2, 3, 4), id(), new VmId(this.vm),
					this.incarnation);
		}

		void end() {
			this.step = Step.ENDED;
		}

		void handleOutcome(LedgerOutcome outcome) {
			if (outcome instanceof Granted) {
				this.step = Step.GRANTED;
			}
			else if (outcome instanceof MayHaveRun || outcome instanceof NotGranted
					|| outcome instanceof AlreadyAnswered) {
				this.step = Step.ENDED;
			}
		}

	}

}
