package org.vanillatrestle.bench.internal.demo;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.vanillatrestle.bench.internal.deployment.DeploymentPlan;
import org.vanillatrestle.bench.internal.engine.EngineSettings;
import org.vanillatrestle.bench.internal.engine.EngineTiming;
import org.vanillatrestle.bench.internal.engine.StandInEngine;
import org.vanillatrestle.bench.internal.service.ServiceSettings;
import org.vanillatrestle.bench.internal.service.StandInService;
import org.vanillatrestle.bench.internal.standin.Run;
import org.vanillatrestle.bench.internal.standin.StandInTarget;

/**
 * The stand-in targets of the demonstration: in each region two drafting engines, a sheet
 * engine and a ledger app.
 * <p>
 * Not thread safe. Closing it closes every target.
 */
final class DemoTargets implements AutoCloseable {

	private static final EngineTiming TIMING = new EngineTiming(20_000, 100, 50, 64, 1000, 4096, 500);

	private final List<StandInTarget> draftEngines = new ArrayList<>();

	private final List<StandInTarget> services = new ArrayList<>();

	private final List<StandInTarget> all = new ArrayList<>();

	DemoTargets(DeploymentPlan plan, List<String> regions) throws IOException {
		for (String region : regions) {
			List<String> entries = plan.entriesOf(region);
			this.draftEngines.add(engine(region, "draft-engine-1", "drafts", "draft-1", entries));
			this.draftEngines.add(engine(region, "draft-engine-2", "drafts", "draft-1", entries));
			engine(region, "sheet-engine-1", "sheets", "sheet-1", entries);
			StandInTarget service = StandInService
				.start(ServiceSettings.fast(region + "-ledger-1", region + "-1", "ledger", "himdugdha", entries));
			this.services.add(service);
			this.all.add(service);
		}
	}

	private StandInTarget engine(String region, String id, String service, String model, List<String> entries)
			throws IOException {
		StandInTarget engine = StandInEngine
			.start(EngineSettings.fast(region + "-" + id, region + "-1", service, model, entries).withTiming(TIMING));
		this.all.add(engine);
		return engine;
	}

	/**
	 * Finds a drafting engine that is in the middle of an answer.
	 * @return the engine, or empty if none is
	 */
	Optional<StandInTarget> draftingEngine() {
		return this.draftEngines.stream().filter(DemoTargets::isRunning).findFirst();
	}

	private static boolean isRunning(StandInTarget engine) {
		return engine.runs().stream().anyMatch((run) -> run.outcome() == Run.Outcome.RUNNING && run.sentChunks() > 0);
	}

	/**
	 * Counts the runs of one idempotency key over all ledger apps.
	 * @param key the key
	 * @return the number of runs
	 */
	long runsOf(String key) {
		return this.services.stream()
			.flatMap((service) -> service.runs().stream())
			.filter((run) -> run.key().equals(key))
			.count();
	}

	@Override
	public void close() {
		this.all.forEach(StandInTarget::close);
	}

}
