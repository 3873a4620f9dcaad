package org.vanillatrestle.bench.internal.experiment;

import java.util.ArrayList;
import java.util.List;

import org.vanillatrestle.InvalidDocumentException;
import org.vanillatrestle.Objective;
import org.vanillatrestle.internal.json.JsonObject;

/**
 * Reads an experiment from JSON, strictly.
 * <p>
 * Stateless and thread safe.
 */
final class ExperimentReader {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final long SECOND_NANOS = 1_000_000_000;

	private static final long MANY = 1_000_000_000_000L;

	private ExperimentReader() {
	}

	static Experiment read(String text) throws InvalidDocumentException {
		JsonObject json = JsonObject.parse(text);
		List<PolicyKind> policies = new ArrayList<>();
		for (String policy : json.strings("policies")) {
			policies.add(policy(policy, json));
		}
		long seeds = json.integer("seeds", 1, 100);
		List<Long> seedValues = new ArrayList<>();
		for (long seed = 1; seed <= seeds; seed++) {
			seedValues.add(seed);
		}
		List<Scene> scenes = new ArrayList<>();
		for (JsonObject scene : json.objects("scenes")) {
			scenes.add(scene(scene));
		}
		Experiment result = new Experiment(json.name("name"), deployment(json.object("deployment")), scenes, policies,
				seedValues, json.integer("warmUpSeconds", 0, 1_000) * SECOND_NANOS);
		json.rejectUnknownFields();
		return result;
	}

	private static PolicyKind policy(String name, JsonObject json) throws InvalidDocumentException {
		for (PolicyKind kind : PolicyKind.values()) {
			if (kind.name().equals(name)) {
				return kind;
			}
		}
		throw new InvalidDocumentException(json.path("policies"),
				"'" + name + "' is not one of " + List.of(PolicyKind.values()));
	}

	private static Deployment deployment(JsonObject json) throws InvalidDocumentException {
		List<Deployment.RegionPlan> regions = new ArrayList<>();
		for (JsonObject region : json.objects("regions")) {
			regions.add(region(region));
		}
		Deployment result = new Deployment(json.name("customer"), json.constant("objective", Objective.class),
				(int) json.integer("maxSentAwayPercent", 0, 100),
				json.integer("deadlineMillis", 1, MANY) * NANOS_PER_MILLI,
				json.integer("regionDelayMillis", 0, MANY) * NANOS_PER_MILLI,
				json.integer("dataCentreDelayMillis", 0, MANY) * NANOS_PER_MILLI,
				json.integer("clientDelayMillis", 0, MANY) * NANOS_PER_MILLI,
				json.integer("linkBytesPerSecond", 1, MANY), json.integer("linkPriceMicrosPerMegabyte", 0, MANY),
				workload(json.object("workload")), regions);
		json.rejectUnknownFields();
		return result;
	}

	private static Deployment.Workload workload(JsonObject json) throws InvalidDocumentException {
		Deployment.Workload result = new Deployment.Workload((int) json.integer("promptTokens", 2, 100_000),
				(int) json.integer("answerTokens", 1, 100_000), (int) json.integer("prefixes", 1, 100_000),
				(int) json.integer("prefixPercent", 0, 100), (int) json.integer("plainPercent", 0, 1_000));
		json.rejectUnknownFields();
		return result;
	}

	private static Deployment.RegionPlan region(JsonObject json) throws InvalidDocumentException {
		List<Deployment.TargetPlan> targets = new ArrayList<>();
		for (JsonObject engines : json.objects("engines")) {
			targets.add(new Deployment.TargetPlan(engines.name("name"), false, (int) engines.integer("count", 1, 1_000),
					(int) engines.integer("maxRunning", 1, 10_000), engines.nonNegative("speed", 1),
					(int) engines.integer("cachedPrefixes", 0, 100_000),
					engines.integer("priceMicrosPerThousandTokens", 0, MANY)));
			engines.rejectUnknownFields();
		}
		for (JsonObject services : json.objects("services")) {
			targets.add(new Deployment.TargetPlan(services.name("name"), true,
					(int) services.integer("count", 1, 1_000), (int) services.integer("maxRunning", 1, 10_000),
					services.nonNegative("speed", 1), 0, services.integer("priceMicrosPerRequest", 0, MANY)));
			services.rejectUnknownFields();
		}
		Deployment.RegionPlan result = new Deployment.RegionPlan(json.name("name"), (int) json.integer("vms", 1, 100),
				targets);
		json.rejectUnknownFields();
		return result;
	}

	private static Scene scene(JsonObject json) throws InvalidDocumentException {
		List<Scene.RegionLoad> loads = new ArrayList<>();
		for (JsonObject load : json.objects("loads")) {
			List<Scene.Step> steps = new ArrayList<>();
			for (JsonObject step : load.objects("steps")) {
				steps.add(new Scene.Step(step.nonNegative("atSeconds", 0), step.nonNegative("requestsPerSecond", 0)));
				step.rejectUnknownFields();
			}
			loads.add(new Scene.RegionLoad(load.name("region"), steps));
			load.rejectUnknownFields();
		}
		List<Scene.Fault> faults = new ArrayList<>();
		for (JsonObject fault : json.objects("faults")) {
			faults.add(new Scene.Fault(fault.constant("kind", FaultKind.class), fault.string("where"),
					fault.nonNegative("atSeconds", 0), fault.nonNegative("seconds", 0),
					fault.nonNegative("factor", 1)));
			fault.rejectUnknownFields();
		}
		Scene result = new Scene(json.name("name"), (int) json.integer("seconds", 1, 100_000), loads, faults);
		json.rejectUnknownFields();
		return result;
	}

}
