package org.vanillatrestle.bench.matrix;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.vanillatrestle.CallRule;
import org.vanillatrestle.Caller;
import org.vanillatrestle.CallerName;
import org.vanillatrestle.Contract;
import org.vanillatrestle.ContractService;
import org.vanillatrestle.Contracts;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.ModelName;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.Repeat;
import org.vanillatrestle.ServiceKind;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.VmId;
import org.vanillatrestle.bench.internal.deployment.DeploymentPlan;
import org.vanillatrestle.bench.internal.engine.EngineSettings;
import org.vanillatrestle.bench.internal.engine.StandInEngine;
import org.vanillatrestle.bench.internal.load.CallOutcome;
import org.vanillatrestle.bench.internal.load.RequestKind;
import org.vanillatrestle.bench.internal.load.RequestTemplate;
import org.vanillatrestle.bench.internal.load.SingleCaller;
import org.vanillatrestle.bench.internal.service.ServiceSettings;
import org.vanillatrestle.bench.internal.service.StandInService;
import org.vanillatrestle.bench.internal.standin.Run;
import org.vanillatrestle.bench.internal.standin.StandInTarget;
import org.vanillatrestle.daemon.Node;
import org.vanillatrestle.daemon.internal.node.ReplicaFounding;
import org.vanillatrestle.daemon.internal.settings.HostAndPort;
import org.vanillatrestle.daemon.internal.settings.OperatorSettings;
import org.vanillatrestle.daemon.internal.settings.Role;
import org.vanillatrestle.daemon.internal.settings.Settings;
import org.vanillatrestle.daemon.internal.settings.VmSettings;

/**
 * One VM of the system with two engines and two services, all inside this process.
 */
final class MatrixVm implements AutoCloseable {

	static final String KEY = "matrix-caller";

	static final int TOKENS = 4;

	private static final String OPERATOR_KEY = "matrix-operator";

	private static final long POLL_MILLIS = 5;

	private static final String REGION = "bagmati";

	private static final String DATA_CENTRE = "bagmati-1";

	private static final long ANSWER_SECONDS = 20;

	private final List<StandInTarget> engines = new ArrayList<>();

	private final List<StandInTarget> services = new ArrayList<>();

	private final SingleCaller caller = new SingleCaller();

	private final Node node;

	MatrixVm(Path folder) throws IOException, InterruptedException {
		VmSettings self = new VmSettings(new VmId("bagmati-vm1"), new RegionId(REGION), new DataCentreId(DATA_CENTRE),
				Set.of(Role.values()), new HostAndPort("127.0.0.1", 0), new HostAndPort("127.0.0.1", 0));
		Settings settings = Settings.builder(self, List.of(self))
			.dataFolder(folder)
			.operators(List.of(new OperatorSettings("operator", DeploymentPlan.sha256(OPERATOR_KEY))))
			.build();
		ReplicaFounding.found(settings, false);
		this.node = Node.start(settings);
		applyContract();
		List<String> entries = List.of("127.0.0.1:" + this.node.httpPort());
		for (int i = 1; i <= 2; i++) {
			this.engines.add(
					StandInEngine.start(EngineSettings.fast("engine-" + i, DATA_CENTRE, "sheets", "sheet-1", entries)));
			this.services.add(StandInService
				.start(ServiceSettings.fast("service-" + i, DATA_CENTRE, "ledger", "himdugdha", entries)));
		}
		this.engines.forEach((engine) -> engine.announcer().announce().join());
		this.services.forEach((service) -> service.announcer().announce().join());
	}

	private void applyContract() throws IOException, InterruptedException {
		HttpRequest put = HttpRequest
			.newBuilder(URI.create("http://127.0.0.1:" + this.node.httpPort() + "/v1/contracts/himdugdha"))
			.header("Authorization", "Bearer " + OPERATOR_KEY)
			.PUT(HttpRequest.BodyPublishers.ofString(Contracts.write(contract())))
			.build();
		HttpClient client = HttpClient.newHttpClient();
		while (client.send(put, HttpResponse.BodyHandlers.discarding()).statusCode() != 200) {
			Thread.sleep(POLL_MILLIS);
		}
	}

	private static Contract contract() {
		return Contract.builder(new CustomerId("himdugdha"), 1)
			.allowedRegions(Set.of(new RegionId(REGION)))
			.callers(List.of(new Caller(new CallerName("clerks"), new RegionId(REGION), DeploymentPlan.sha256(KEY))))
			.services(List.of(
					ContractService.builder(new ServiceName("sheets"), ServiceKind.MODEL)
						.models(Set.of(new ModelName("sheet-1")))
						.build(),
					ContractService.builder(new ServiceName("ledger"), ServiceKind.PLAIN)
						.calls(List.of(new CallRule("POST", "/payouts", Repeat.AT_MOST_ONCE, true)))
						.build()))
			.build();
	}

	Node node() {
		return this.node;
	}

	InetSocketAddress address() {
		return new InetSocketAddress("127.0.0.1", this.node.httpPort());
	}

	/**
	 * Lists the targets that serve a kind of request.
	 * @param kind the kind
	 * @return two targets
	 */
	List<StandInTarget> targets(RequestKind kind) {
		return isChat(kind) ? this.engines : this.services;
	}

	static RequestTemplate template(RequestKind kind) {
		return RequestTemplate.of(kind, isChat(kind) ? "sheet-1" : "ledger", TOKENS, KEY);
	}

	private static boolean isChat(RequestKind kind) {
		return kind == RequestKind.STREAM || kind == RequestKind.WHOLE;
	}

	CallOutcome send(RequestKind kind, String key, Map<String, String> headers)
			throws InterruptedException, ExecutionException, TimeoutException {
		return this.caller.send(address(), template(kind), 7, key, headers).get(ANSWER_SECONDS, TimeUnit.SECONDS);
	}

	/**
	 * Lists the runs of every target that serves a kind of request.
	 * @param kind the kind
	 * @return the runs of each target
	 */
	List<List<Run>> runsByTarget(RequestKind kind) {
		return targets(kind).stream().map(StandInTarget::runs).toList();
	}

	@Override
	public void close() {
		this.caller.close();
		this.node.close();
		this.engines.forEach(StandInTarget::close);
		this.services.forEach(StandInTarget::close);
	}

}
