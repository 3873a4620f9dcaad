package org.vanillatrestle.bench.internal.measure;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.HdrHistogram.Histogram;
import org.vanillatrestle.bench.internal.http.Responses;
import org.vanillatrestle.bench.internal.load.AnswerKind;
import org.vanillatrestle.bench.internal.load.LoadGenerator;
import org.vanillatrestle.bench.internal.load.LoadResult;
import org.vanillatrestle.bench.internal.load.LoadShape;
import org.vanillatrestle.bench.internal.load.RequestKind;
import org.vanillatrestle.bench.internal.load.RequestTemplate;

/**
 * Measures one entry VM beside direct calls to the same targets: latency added to
 * streams, short plain calls per second, and heap.
 * <p>
 * Not thread safe. Rounds of direct calls and of calls through the gateway alternate, so
 * that noise of the machine meets both.
 */
public final class GatewayMeasurement {

	private static final int ENGINES = 4;

	private static final long STEP_MICROS = 30_000;

	private static final int TOKENS = 100;

	private static final double STREAM_SECONDS = (TOKENS + 0.5) * STEP_MICROS / 1e6;

	private static final long WARM_UP_MILLIS = 3000;

	private static final int PLAIN_CONNECTIONS = 64;

	private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private static final int PERCENTILE_50 = 50;

	private static final int PERCENTILE_99 = 99;

	private final Path folder;

	private final int rounds;

	private final long roundMillis;

	private final ObjectNode json = Responses.object();

	private final StringBuilder text = new StringBuilder();

	/**
	 * Creates a measurement.
	 * @param folder gets settings and logs
	 * @param rounds how many rounds each way
	 * @param roundMillis the duration of a round
	 */
	public GatewayMeasurement(Path folder, int rounds, long roundMillis) {
		this.folder = folder;
		this.rounds = rounds;
		this.roundMillis = roundMillis;
	}

	/**
	 * Measures streams: the same load goes to the engines and to the gateway.
	 * @param streams the mean number of concurrent streams
	 * @return whether every answer was whole
	 * @throws IOException if a process can't be started
	 * @throws InterruptedException if a wait is interrupted
	 */
	public boolean measureStreams(int streams) throws IOException, InterruptedException {
		try (MeasuredGateway gateway = new MeasuredGateway(this.folder.resolve("streams"))) {
			gateway.startDaemon();
			for (int i = 0; i < ENGINES; i++) {
				gateway.startEngine(STEP_MICROS);
			}
			RequestTemplate template = MeasuredGateway.chat(TOKENS);
			gateway.awaitServing(MeasuredGateway.chat(1));
			LoadResult direct = new LoadResult();
			LoadResult through = new LoadResult();
			Duration before = gateway.daemon().cpuTime();
			for (int round = 0; round < this.rounds; round++) {
				LoadShape shape = new LoadShape(streams / STREAM_SECONDS, WARM_UP_MILLIS, this.roundMillis,
						Integer.MAX_VALUE / 2, round + 1);
				direct.addSequential(LoadGenerator.run(gateway.engines(), template, shape, 1));
				through.addSequential(LoadGenerator.run(List.of(gateway.entry()), template, shape, 1));
			}
			Duration cpu = gateway.daemon().cpuTime().minus(before);
			line("%nStreams: %d concurrent, %d tokens each, a token every %d ms, %d engines, %d rounds of %d s%n",
					streams, TOKENS, STEP_MICROS / 1000, ENGINES, this.rounds, this.roundMillis / 1000);
			line("direct%n%s", direct.toText());
			line("gateway%n%s", through.toText());
			line("gateway processor time %.1f s, rounds of direct calls included%n", cpu.toMillis() / 1000.0);
			ObjectNode node = this.json.putObject("streams");
			node.set("direct", direct.toJson());
			node.set("gateway", through.toJson());
			added(node, "firstToken", direct.firstToken(), through.firstToken());
			added(node, "delivery", direct.delivery(), through.delivery());
			added(node, "total", direct.total(), through.total());
			return isWhole(direct) && isWhole(through);
		}
	}

	private static boolean isWhole(LoadResult result) {
		long whole = result.count(AnswerKind.WHOLE);
		long all = 0;
		for (AnswerKind kind : AnswerKind.values()) {
			all += result.count(kind);
		}
		return whole > 0 && whole == all;
	}

	private void added(ObjectNode node, String name, Histogram direct, Histogram through) {
		double p50 = difference(direct, through, PERCENTILE_50);
		double p99 = difference(direct, through, PERCENTILE_99);
		line("added to %s: p50 %.3f ms, p99 %.3f ms%n", name, p50, p99);
		node.putObject("added" + name.substring(0, 1).toUpperCase(Locale.ROOT) + name.substring(1) + "Millis")
			.put("p50", p50)
			.put("p99", p99);
	}

	private static double difference(Histogram direct, Histogram through, double percentile) {
		return (through.getValueAtPercentile(percentile) - direct.getValueAtPercentile(percentile)) / NANOS_PER_MILLI;
	}

	/**
	 * Measures short plain calls with a fixed number in flight, and the processor time
	 * that the gateway spends on them.
	 * @return whether every answer was whole
	 * @throws IOException if a process can't be started
	 * @throws InterruptedException if a wait is interrupted
	 */
	public boolean measurePlain() throws IOException, InterruptedException {
		try (MeasuredGateway gateway = new MeasuredGateway(this.folder.resolve("plain"))) {
			gateway.startDaemon();
			gateway.startService();
			RequestTemplate template = RequestTemplate.of(RequestKind.BALANCE, MeasuredGateway.SERVICE, 0,
					MeasuredGateway.KEY);
			gateway.awaitServing(template);
			LoadResult direct = new LoadResult();
			LoadResult through = new LoadResult();
			Duration cpu = Duration.ZERO;
			for (int round = 0; round < this.rounds; round++) {
				direct.addSequential(plainRound(gateway.service(), template, round));
				plainWarmUp(gateway.entry(), template, round);
				Duration before = gateway.daemon().cpuTime();
				through.addSequential(plainRound(gateway.entry(), template, round));
				cpu = cpu.plus(gateway.daemon().cpuTime()).minus(before);
			}
			double cores = cpu.toNanos() / (double) TimeUnit.MILLISECONDS.toNanos(this.roundMillis * this.rounds);
			line("%nPlain calls: %d in flight, %d rounds of %d s%n", PLAIN_CONNECTIONS, this.rounds,
					this.roundMillis / 1000);
			line("direct%n%s", direct.toText());
			line("gateway%n%s", through.toText());
			line("gateway: %.0f requests/s on %.2f cores, %.0f requests per second and core%n",
					through.wholePerSecond(), cores, through.wholePerSecond() / cores);
			ObjectNode node = this.json.putObject("plain");
			node.set("direct", direct.toJson());
			node.set("gateway", through.toJson());
			node.put("gatewayCores", cores).put("requestsPerSecondAndCore", through.wholePerSecond() / cores);
			return isWhole(direct) && isWhole(through);
		}
	}

	private LoadResult plainRound(InetSocketAddress address, RequestTemplate template, int round)
			throws InterruptedException {
		LoadShape shape = new LoadShape(0, 0, this.roundMillis, PLAIN_CONNECTIONS, round + 1);
		return MeasuredGateway.run(address, template, shape, 2);
	}

	private static void plainWarmUp(InetSocketAddress address, RequestTemplate template, int round)
			throws InterruptedException {
		MeasuredGateway.run(address, template, new LoadShape(0, 0, WARM_UP_MILLIS, PLAIN_CONNECTIONS, round), 2);
	}

	/**
	 * Measures the heap of an entry VM after full collections, without streams and with
	 * idle ones.
	 * @param streams how many idle streams
	 * @throws IOException if a process can't be started or a stream doesn't begin
	 * @throws InterruptedException if a wait is interrupted
	 */
	public void measureHeap(int streams) throws IOException, InterruptedException {
		MeasuredGateway gateway = new MeasuredGateway(this.folder.resolve("heap"));
		gateway.found();
		try (gateway;
				HeapProcess probe = HeapProcess.start(gateway.settingsFile());
				IdleStreams idle = new IdleStreams()) {
			probe.usedBytes();
			gateway.applyContract();
			gateway.startEngine(STEP_MICROS);
			gateway.awaitServing(MeasuredGateway.chat(1));
			gateway.stallEngines();
			double emptyMegabytes = settledMegabytes(probe);
			idle.begin(gateway.entry(), MeasuredGateway.MODEL, MeasuredGateway.KEY, streams);
			double idleMegabytes = settledMegabytes(probe);
			line("%nHeap after full collections: %.2f MB without streams, %.2f MB with %d idle streams, "
					+ "%.1f KB a stream%n", emptyMegabytes, idleMegabytes, streams,
					(idleMegabytes - emptyMegabytes) * 1000 / streams);
			this.json.putObject("heap")
				.put("emptyMegabytes", emptyMegabytes)
				.put("idleStreams", streams)
				.put("idleMegabytes", idleMegabytes);
		}
	}

	private static double settledMegabytes(HeapProcess probe) throws IOException, InterruptedException {
		Thread.sleep(WARM_UP_MILLIS);
		return probe.usedBytes() / 1e6;
	}

	private void line(String format, Object... args) {
		this.text.append(String.format(Locale.ROOT, format, args));
	}

	/**
	 * Returns what was measured so far.
	 * @return the text
	 */
	public String text() {
		return this.text.toString();
	}

	/**
	 * Returns what was measured so far.
	 * @return the JSON
	 */
	public ObjectNode json() {
		return this.json;
	}

	/**
	 * A daemon that can be asked for its heap. Not thread safe.
	 */
	private static final class HeapProcess implements AutoCloseable {

		private static final String PREFIX = "heap ";

		private final Process process;

		private final BufferedReader reader;

		private final OutputStream commands;

		private HeapProcess(Process process) {
			this.process = process;
			this.reader = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
			this.commands = process.getOutputStream();
		}

		static HeapProcess start(Path settings) throws IOException {
			String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
			return new HeapProcess(new ProcessBuilder(java, "-Xmx48m", "-XX:+UseSerialGC", "-XX:-UsePerfData", "-cp",
					System.getProperty("java.class.path"), HeapProbe.class.getName(), settings.toString())
				.redirectError(ProcessBuilder.Redirect.DISCARD)
				.start());
		}

		long usedBytes() throws IOException {
			this.commands.write('\n');
			this.commands.flush();
			String line = this.reader.readLine();
			while (line != null && !line.startsWith(PREFIX)) {
				line = this.reader.readLine();
			}
			if (line == null) {
				throw new IOException("the daemon has ended");
			}
			return Long.parseLong(line.substring(PREFIX.length()));
		}

		@Override
		public void close() {
			this.process.destroyForcibly();
		}

	}

}
