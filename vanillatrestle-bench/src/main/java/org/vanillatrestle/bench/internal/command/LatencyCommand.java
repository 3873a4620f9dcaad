package org.vanillatrestle.bench.internal.command;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import org.vanillatrestle.bench.BenchCommand;
import org.vanillatrestle.bench.internal.http.Responses;
import org.vanillatrestle.bench.internal.measure.GatewayMeasurement;

/**
 * Measures the gateway beside direct calls to the same targets.
 * <p>
 * Stateless and thread safe.
 */
public final class LatencyCommand implements BenchCommand {

	private static final long MILLIS_PER_SECOND = 1000;

	@Override
	public String name() {
		return "latency";
	}

	@Override
	public String summary() {
		return "measures added latency, plain calls per core and heap of one entry VM";
	}

	@Override
	public int run(String[] args, PrintStream out, PrintStream err) throws Exception {
		Arguments arguments = new Arguments().option("rounds", "COUNT", "rounds each way, default 3")
			.option("seconds", "COUNT", "duration of a round, default 8")
			.option("streams", "COUNT", "concurrent streams, default 200; 0 for none")
			.option("idle-streams", "COUNT", "idle streams of the heap measurement, default 2000; 0 for none")
			.flag("no-plain", "leaves out plain calls")
			.flag("json", "prints JSON");
		if (!arguments.parse(this, args, out)) {
			return OK;
		}
		Path folder = Files.createTempDirectory("vanillatrestle-latency");
		GatewayMeasurement measurement = new GatewayMeasurement(folder, (int) arguments.number("rounds", 3),
				arguments.number("seconds", 8) * MILLIS_PER_SECOND);
		int streams = (int) arguments.number("streams", 200);
		int idleStreams = (int) arguments.number("idle-streams", 2000);
		boolean whole = streams == 0 || measurement.measureStreams(streams);
		whole &= arguments.has("no-plain") || measurement.measurePlain();
		if (idleStreams > 0) {
			measurement.measureHeap(idleStreams);
		}
		out.println(arguments.has("json") ? new String(Responses.encode(measurement.json()), StandardCharsets.UTF_8)
				: measurement.text());
		return whole ? OK : FAILED;
	}

}
