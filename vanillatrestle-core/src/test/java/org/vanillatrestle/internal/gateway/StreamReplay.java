package org.vanillatrestle.internal.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
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
 * Simulates streams of different lengths on the engines of one region. Entry VMs decide
 * with {@link GatewayTargets} and {@link Placement} and report their loads to one another
 * with a delay.
 * <p>
 * An engine works in steps. A step makes one token of each running answer and reads a
 * chunk of the waiting prompts, the most urgent first, and it takes the longer the more
 * answers run and the more it reads. A stream that has not ended at its deadline is cut.
 * The same seed gives the same outcome. Runs on one thread.
 */
final class StreamReplay {

	private static final long LOAD_REPORT_PERIOD_MILLIS = 100;

	private static final int SLOTS = 64;

	private static final double STEP_MILLIS = 3.09;

	private static final double STEP_MILLIS_PER_RUNNING = 0.102;

	private static final double READ_TOKENS_PER_MILLI = 56.9;

	private static final int CHUNK_TOKENS = 4_096;

	private static final int TOKENS_PER_EVENT = 8;

	private static final long CACHE_TOKENS = 377_000;

	private static final long PAUSE_OBJECTIVE_MILLIS = 800;

	private static final long MAX_DEADLINE_MILLIS = 12_000;

	private static final DataCentreId DATA_CENTRE = new DataCentreId("koshi-a");

	private final UniformRandomProvider random;

	private final DeclaredService service;

	private final List<GatewayTargets> vms = new ArrayList<>();

	private final Map<TargetId, Engine> engines = new HashMap<>();

	private final List<Run> runs = new ArrayList<>();

	private boolean limitsReading = true;

	StreamReplay(long seed, int engineCount) {
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		this.service = new DeclaredService(new ServiceName("model"), "/health", 100, 0, 0,
				Optional.of(new ModelEngine(SLOTS, CACHE_TOKENS, 18_432, 0)));
		TreeSet<VmId> entries = new TreeSet<>(Set.of(new VmId("edge-0"), new VmId("edge-1"), new VmId("edge-2")));
		for (VmId entry : entries) {
			this.vms.add(new GatewayTargets(entry, DATA_CENTRE, new ColdQuota(1.5, 3), this.random));
		}
		this.vms.forEach((vm) -> vm.setRegionEntries(entries, 0));
		for (int i = 0; i < engineCount; i++) {
			TargetId id = new TargetId("i-" + i);
			this.engines.put(id, new Engine());
			TargetReport report = new TargetReport(id, 1, 1, this.service.name(), new TargetAddress("10.0.0." + i, 1),
					DATA_CENTRE, SLOTS, TargetCondition.READY, 0);
			this.vms.forEach((vm) -> vm.update(report, 0));
		}
	}

	/**
	 * Lets targets read without limit, which shows what they can take.
	 * @return this replay
	 */
	StreamReplay withoutReadingLimits() {
		this.limitsReading = false;
		return this;
	}

	/**
	 * Runs the load to its end.
	 * @param load the load
	 * @return the outcome by kind of request
	 */
	Map<String, Outcome> run(AnswerLoad load) {
		long startMillis = TimeUnit.SECONDS.toMillis(10);
		for (long elapsed = 0; elapsed < load.endMillis() + MAX_DEADLINE_MILLIS; elapsed++) {
			long nowMillis = startMillis + elapsed;
			if (elapsed % LOAD_REPORT_PERIOD_MILLIS == 0) {
				reportLoads(nanos(nowMillis));
			}
			for (AnswerLoad.Line line : load.lines()) {
				if (line.arrives(elapsed, this.random)) {
					arrive(line, nowMillis);
				}
			}
			this.engines.values().forEach((engine) -> engine.advanceTo(nowMillis));
		}
		Map<String, Outcome> outcomes = new TreeMap<>();
		this.runs.forEach(
				(run) -> outcomes.computeIfAbsent(run.line.kind(), (kind) -> new Outcome(new ArrayList<>())).add(run));
		return outcomes;
	}

	private void reportLoads(long nowNanos) {
		for (GatewayTargets vm : this.vms) {
			List<InFlightLoad> others = this.vms.stream()
				.filter((other) -> other != vm)
				.flatMap((other) -> other.all().stream())
				.map((target) -> target.own(nowNanos))
				.toList();
			vm.setOtherLoads(others, nowNanos);
		}
	}

	private void arrive(AnswerLoad.Line line, long nowMillis) {
		int readTokens = line.prompt().draw(this.random);
		Run run = new Run(line, nowMillis, readTokens, line.output().draw(this.random));
		this.runs.add(run);
		GatewayTargets vm = this.vms.get(this.random.nextInt(this.vms.size()));
		RequestShape shape = new RequestShape(this.service, readTokens, run.outputTokens,
				List.of(new PromptPart("own-" + this.runs.size(), readTokens)), PAUSE_OBJECTIVE_MILLIS,
				this.limitsReading ? RequestShape.maxReadingShare(line.rank()) : Double.MAX_VALUE,
				line.deadlineMillis());
		Optional<TargetChoice> choice = vm.choose(shape, Set.of(), nanos(nowMillis));
		if (choice.isEmpty() || !admits(choice.get(), shape, line, vm.readMillis(shape, nanos(nowMillis)))) {
			run.refused = true;
			return;
		}
		run.request = vm.begin(choice.get(), shape, nanos(nowMillis));
		this.engines.get(choice.get().target().id()).add(run);
	}

	private static boolean admits(TargetChoice choice, RequestShape shape, AnswerLoad.Line line, long readMillis) {
		return Placement
			.decide(new Placement.Estimate(choice.waitMillis(), choice.harmfulReadingShare()), Placement.Estimate.NONE,
					shape.maxReadingShare(), line.objectiveMillis(), readMillis, line.deadlineMillis())
			.action() == Placement.Action.SERVE_LOCALLY;
	}

	private static long nanos(double millis) {
		return Math.round(millis * TimeUnit.MILLISECONDS.toNanos(1));
	}

	/**
	 * The requests of one kind.
	 */
	record Outcome(List<Run> runs) {

		private static final double LARGEST_SHARE = 0.1;

		void add(Run run) {
			this.runs.add(run);
		}

		void addAll(Outcome more) {
			this.runs.addAll(more.runs);
		}

		long refusedCount() {
			return this.runs.stream().filter((run) -> run.refused).count();
		}

		double servedShare() {
			return servedShare(this.runs);
		}

		/**
		 * Returns the share of requests that are served among the largest tenth.
		 */
		double largestServedShare() {
			List<Run> largest = this.runs.stream()
				.sorted(Comparator.comparingDouble(Run::size).reversed())
				.limit(Math.max(1, Math.round(LARGEST_SHARE * this.runs.size())))
				.toList();
			return servedShare(largest);
		}

		/**
		 * Returns the worth earned, as a share of the worth of all requests. Longer
		 * requests are worth more.
		 */
		double worthShare() {
			return earned() / owed();
		}

		double earned() {
			return this.runs.stream().mapToDouble((run) -> run.earned(meanSize())).sum();
		}

		double owed() {
			return this.runs.stream().mapToDouble((run) -> run.worth(meanSize())).sum();
		}

		private double meanSize() {
			return this.runs.stream().mapToDouble(Run::size).average().orElse(1);
		}

		private static double servedShare(List<Run> some) {
			return some.stream().filter((run) -> run.ended).count() / (double) some.size();
		}

		@Override
		public String toString() {
			return String.format("%d asked, %.2f served, %.2f of the largest, %d refused, %d cut, worth %.2f",
					this.runs.size(), servedShare(), largestServedShare(), refusedCount(),
					this.runs.stream().filter((run) -> !run.ended && !run.refused).count(), worthShare());
		}

	}

	/**
	 * One request and its outcome.
	 */
	static final class Run {

		private static final double OUTPUT_SIZE_WEIGHT = 10;

		private static final double SIZE_SHARE_OF_WORTH = 0.7;

		private static final double MAX_WORTH_FACTOR = 4;

		private final AnswerLoad.Line line;

		private final double arrivedMillis;

		private final int readTokens;

		private final int outputTokens;

		private InFlightRequest request;

		private double unread;

		private int made;

		private double lastEventMillis;

		private boolean late;

		private boolean refused;

		private boolean ended;

		Run(AnswerLoad.Line line, double arrivedMillis, int readTokens, int outputTokens) {
			this.line = line;
			this.arrivedMillis = arrivedMillis;
			this.readTokens = readTokens;
			this.outputTokens = outputTokens;
			this.unread = readTokens;
		}

		double size() {
			return this.readTokens + OUTPUT_SIZE_WEIGHT * this.outputTokens;
		}

		double worth(double meanSize) {
			return this.line.worth() * factor(meanSize);
		}

		double earned(double meanSize) {
			if (!this.ended) {
				return 0;
			}
			return (this.late ? this.line.lateWorth() : this.line.worth()) * factor(meanSize);
		}

		private double factor(double meanSize) {
			return Math.min(MAX_WORTH_FACTOR, 1 - SIZE_SHARE_OF_WORTH + SIZE_SHARE_OF_WORTH * size() / meanSize);
		}

		private boolean isOverdue(double nowMillis) {
			return nowMillis - this.arrivedMillis >= this.line.deadlineMillis();
		}

		private void makeToken(double nowMillis) {
			this.made++;
			boolean ends = this.made >= this.outputTokens;
			if (this.made == 1) {
				this.request.answerStarted(nanos(nowMillis));
			}
			if (ends || this.made % TOKENS_PER_EVENT == 0) {
				makeEvent(nowMillis);
			}
			if (ends) {
				this.ended = true;
				this.request.answered(nanos(nowMillis));
			}
		}

		private void makeEvent(double nowMillis) {
			if (this.lastEventMillis == 0) {
				this.late = nowMillis - this.arrivedMillis > this.line.objectiveMillis();
			}
			else {
				long pauseMillis = Math.round(nowMillis - this.lastEventMillis);
				this.late |= pauseMillis > PAUSE_OBJECTIVE_MILLIS;
				this.request.recordStreamPause(pauseMillis, nanos(nowMillis));
			}
			this.lastEventMillis = nowMillis;
		}

	}

	private static final class Engine {

		private final List<Run> waiting = new ArrayList<>();

		private final List<Run> running = new ArrayList<>();

		private double stepEndsMillis;

		void add(Run run) {
			int index = 0;
			while (index < this.waiting.size() && this.waiting.get(index).line.rank() <= run.line.rank()) {
				index++;
			}
			this.waiting.add(index, run);
		}

		void advanceTo(double nowMillis) {
			this.stepEndsMillis = Math.max(this.stepEndsMillis, nowMillis - 1);
			while (this.stepEndsMillis < nowMillis && !(this.waiting.isEmpty() && this.running.isEmpty())) {
				step();
			}
		}

		private void step() {
			List<Run> read = new ArrayList<>();
			double leftTokens = CHUNK_TOKENS;
			while (leftTokens > 0 && !this.waiting.isEmpty() && this.running.size() + read.size() < SLOTS) {
				Run first = this.waiting.get(0);
				double tokens = Math.min(leftTokens, first.unread);
				first.unread -= tokens;
				leftTokens -= tokens;
				if (first.unread <= 0) {
					read.add(this.waiting.remove(0));
				}
			}
			this.stepEndsMillis += STEP_MILLIS + STEP_MILLIS_PER_RUNNING * this.running.size()
					+ (CHUNK_TOKENS - leftTokens) / READ_TOKENS_PER_MILLI;
			this.running.addAll(read);
			this.running.forEach((run) -> run.makeToken(this.stepEndsMillis));
			this.running.removeIf((run) -> run.ended);
			cutOverdue(this.waiting);
			cutOverdue(this.running);
		}

		private void cutOverdue(List<Run> some) {
			some.removeIf((run) -> {
				boolean overdue = run.isOverdue(this.stepEndsMillis);
				if (overdue) {
					run.request.end();
				}
				return overdue;
			});
		}

	}

}
