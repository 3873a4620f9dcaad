package org.vanillatrestle.internal.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.declaration.DeclaredService;
import org.vanillatrestle.internal.declaration.ModelEngine;
import org.vanillatrestle.internal.fleet.InFlightLoad;
import org.vanillatrestle.internal.fleet.TargetCondition;
import org.vanillatrestle.internal.fleet.TargetReport;
import org.vanillatrestle.internal.target.TargetAddress;

/**
 * Simulates a load on the engines of one region. Entry VMs decide with
 * {@link GatewayTargets} and {@link Placement} and report their loads to one another with
 * a delay. An engine reads prompts one after the other and caches the most recently used
 * parts. The same seed gives the same outcome. Runs on one thread.
 */
final class EngineReplay {

	private static final long STEP_MILLIS = 5;

	private static final long LOAD_REPORT_PERIOD_MILLIS = 100;

	private static final double TOKENS_PER_MILLI = 45;

	private static final long FIRST_TOKEN_MILLIS = 30;

	private static final double MILLIS_PER_OUTPUT_TOKEN = 12;

	private static final long DEADLINE_MILLIS = 12_000;

	private static final long PAUSE_OBJECTIVE_MILLIS = 400;

	private static final DataCentreId DATA_CENTRE = new DataCentreId("koshi-a");

	private final UniformRandomProvider random;

	private final DeclaredService service;

	private final List<GatewayTargets> vms = new ArrayList<>();

	private final Map<TargetId, Engine> engines = new HashMap<>();

	private final Map<String, Outcome> outcomes = new TreeMap<>();

	private final long reportedPauseMillis;

	private final Admission admission;

	/**
	 * Creates the entry VMs and engines.
	 * @param seed the seed of the random numbers
	 * @param engineCount the number of engines
	 * @param cacheTokens the size of each engine's cache in tokens
	 * @param linkMegabitsPerSecond the speed at which engines copy from one another, 0 if
	 * they can't
	 * @param reportedPauseMillis the longest stream pause that VMs report for each engine
	 * @param admission decides whether a request is served
	 */
	EngineReplay(long seed, int engineCount, long cacheTokens, double linkMegabitsPerSecond, long reportedPauseMillis,
			Admission admission) {
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		this.reportedPauseMillis = reportedPauseMillis;
		this.admission = admission;
		this.service = new DeclaredService(new ServiceName("model"), "/health", 100, 0, 0,
				Optional.of(new ModelEngine(64, cacheTokens, 18_432, linkMegabitsPerSecond)));
		for (int i = 0; i < 3; i++) {
			this.vms.add(new GatewayTargets(new VmId("edge-" + i), DATA_CENTRE, new ColdQuota(1.5, 3), this.random));
		}
		TreeSet<VmId> entries = new TreeSet<>(Set.of(new VmId("edge-0"), new VmId("edge-1"), new VmId("edge-2")));
		this.vms.forEach((vm) -> vm.setRegionEntries(entries, 0));
		for (int i = 0; i < engineCount; i++) {
			TargetId id = new TargetId("i-" + i);
			this.engines.put(id, new Engine(cacheTokens));
			TargetReport report = new TargetReport(id, 1, 1, this.service.name(), new TargetAddress("10.0.0." + i, 1),
					DATA_CENTRE, 64, TargetCondition.READY, 0);
			this.vms.forEach((vm) -> vm.update(report, 0));
		}
	}

	/**
	 * Runs the load to its end.
	 * @param load the load
	 * @return the outcome by kind of request
	 */
	Map<String, Outcome> run(LoadPattern load) {
		long startMillis = TimeUnit.SECONDS.toMillis(10);
		long number = 0;
		for (long elapsedMillis = 0; elapsedMillis < load.endMillis() + DEADLINE_MILLIS; elapsedMillis += STEP_MILLIS) {
			long nowNanos = TimeUnit.MILLISECONDS.toNanos(startMillis + elapsedMillis);
			if (elapsedMillis % LOAD_REPORT_PERIOD_MILLIS == 0) {
				reportLoads(nowNanos);
			}
			for (LoadPattern.Line line : load.lines()) {
				if (line.arrives(elapsedMillis, STEP_MILLIS, this.random)) {
					arrive(line, number++, nowNanos);
				}
			}
			this.engines.values().forEach((engine) -> engine.step(nowNanos));
		}
		return this.outcomes;
	}

	private void reportLoads(long nowNanos) {
		for (GatewayTargets vm : this.vms) {
			Map<TargetId, InFlightLoad> sums = new HashMap<>();
			this.engines.keySet()
				.forEach((id) -> sums.put(id, new InFlightLoad(id, 0, 0, 0, 0, this.reportedPauseMillis)));
			this.vms.stream()
				.filter((other) -> other != vm)
				.flatMap((other) -> other.all().stream())
				.forEach((target) -> sums.merge(target.id(), target.own(nowNanos), InFlightLoad::plus));
			vm.setOtherLoads(sums.values(), nowNanos);
		}
	}

	private void arrive(LoadPattern.Line line, long number, long nowNanos) {
		Outcome outcome = this.outcomes.computeIfAbsent(line.kind(), (kind) -> new Outcome());
		outcome.requested++;
		GatewayTargets vm = this.vms.get(this.random.nextInt(this.vms.size()));
		double maxShare = (line.rank() == 0) ? 1.2 : 1;
		RequestShape shape = new RequestShape(this.service, line.sharedTokens() + line.ownTokens(), line.outputTokens(),
				line.prompt(this.random, number), PAUSE_OBJECTIVE_MILLIS, maxShare);
		Optional<TargetChoice> choice = vm.choose(shape, Set.of(), nowNanos);
		if (choice.isEmpty() || !this.admission.admits(choice.get(), shape, line.objectiveMillis(),
				vm.readMillis(shape, nowNanos))) {
			outcome.refused++;
			return;
		}
		TargetChoice found = choice.orElseThrow();
		Engine engine = this.engines.get(found.target().id());
		long missing = engine.missingTokens(shape.parts());
		long copied = found.copyFrom()
			.map((holder) -> this.engines.get(holder.id()).missingTokens(shape.parts()))
			.orElse(missing);
		long unread = Math.min(missing, copied);
		engine.keep(shape.parts());
		engine.waiting.add(new Run(line, vm.begin(found, shape, nowNanos), nowNanos, unread, outcome));
	}

	/**
	 * Decides whether a request is served.
	 */
	interface Admission {

		/** The present rule. */
		Admission PRESENT = (choice, shape, objectiveMillis, readMillis) -> Placement
			.decide(new Placement.Estimate(choice.waitMillis(), choice.harmfulReadingShare()), Placement.Estimate.NONE,
					shape.maxReadingShare(), objectiveMillis, readMillis, DEADLINE_MILLIS)
			.action() == Placement.Action.SERVE_LOCALLY;

		/**
		 * The former rule: the reading share is within the request's limit, and the wait
		 * is at most one and a half objectives.
		 */
		Admission FORMER = (choice, shape, objectiveMillis,
				readMillis) -> choice.readingShare() <= shape.maxReadingShare()
						&& choice.waitMillis() <= 1.5 * objectiveMillis;

		boolean admits(TargetChoice choice, RequestShape shape, long objectiveMillis, long readMillis);

	}

	/**
	 * Counts the outcomes of the requests of one kind.
	 */
	static final class Outcome {

		int requested;

		int refused;

		int inTime;

		void add(Outcome more) {
			this.requested += more.requested;
			this.refused += more.refused;
			this.inTime += more.inTime;
		}

		double inTimeShare() {
			return (double) this.inTime / this.requested;
		}

		@Override
		public String toString() {
			return this.requested + " asked, " + this.inTime + " in time, " + this.refused + " refused";
		}

	}

	private static final class Run {

		private final LoadPattern.Line line;

		private final InFlightRequest request;

		private final long arrivedNanos;

		private final Outcome outcome;

		private double unread;

		private long endsNanos;

		Run(LoadPattern.Line line, InFlightRequest request, long arrivedNanos, long unread, Outcome outcome) {
			this.line = line;
			this.request = request;
			this.arrivedNanos = arrivedNanos;
			this.unread = unread;
			this.outcome = outcome;
		}

	}

	private static final class Engine {

		private final long cacheTokens;

		private final Map<String, Integer> kept = new LinkedHashMap<>(16, 0.75f, true);

		private final List<Run> waiting = new ArrayList<>();

		private final List<Run> running = new ArrayList<>();

		Engine(long cacheTokens) {
			this.cacheTokens = cacheTokens;
		}

		long missingTokens(List<PromptPart> parts) {
			long missing = parts.stream().mapToLong(PromptPart::tokens).sum();
			for (PromptPart part : parts) {
				if (!this.kept.containsKey(part.id())) {
					break;
				}
				missing -= part.tokens();
			}
			return missing;
		}

		void keep(List<PromptPart> parts) {
			parts.forEach((part) -> this.kept.put(part.id(), part.tokens()));
			long held = this.running.stream()
				.mapToLong((run) -> run.line.ownTokens() + run.line.sharedTokens() + run.line.outputTokens())
				.sum();
			long tokens = this.kept.values().stream().mapToLong(Integer::longValue).sum();
			var oldest = this.kept.values().iterator();
			while (tokens + held > this.cacheTokens && oldest.hasNext()) {
				tokens -= oldest.next();
				oldest.remove();
			}
		}

		void step(long nowNanos) {
			double leftTokens = STEP_MILLIS * TOKENS_PER_MILLI;
			while (leftTokens > 0 && !this.waiting.isEmpty()) {
				Run first = this.waiting.get(0);
				double readTokens = Math.min(leftTokens, first.unread);
				first.unread -= readTokens;
				leftTokens -= readTokens;
				if (first.unread <= 0) {
					this.waiting.remove(0);
					begin(first, nowNanos);
				}
			}
			this.running.removeIf((run) -> {
				boolean ends = nowNanos >= run.endsNanos;
				if (ends) {
					run.request.answered(nowNanos);
				}
				return ends;
			});
		}

		private void begin(Run run, long nowNanos) {
			long firstNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(FIRST_TOKEN_MILLIS);
			run.request.answerStarted(firstNanos);
			long firstMillis = TimeUnit.NANOSECONDS.toMillis(firstNanos - run.arrivedNanos);
			run.outcome.inTime += (firstMillis <= run.line.objectiveMillis()) ? 1 : 0;
			run.endsNanos = nowNanos
					+ TimeUnit.MILLISECONDS.toNanos(Math.round(run.line.outputTokens() * MILLIS_PER_OUTPUT_TOKEN));
			this.running.add(run);
		}

	}

}
