package org.vanillatrestle.bench.internal.command;

import java.io.PrintStream;

import org.apache.commons.cli.ParseException;
import org.vanillatrestle.bench.BenchCommand;
import org.vanillatrestle.bench.internal.engine.EngineSettings;
import org.vanillatrestle.bench.internal.engine.EngineTiming;
import org.vanillatrestle.bench.internal.engine.StandInEngine;
import org.vanillatrestle.bench.internal.standin.TargetPrice;
import org.vanillatrestle.bench.internal.standin.TargetProfile;

/**
 * Runs a stand-in engine until the process is asked to end.
 * <p>
 * Stateless and thread safe.
 */
public final class EngineCommand implements BenchCommand {

	private static final long PRICE_MICROS = 1000;

	@Override
	public String name() {
		return "engine";
	}

	@Override
	public String summary() {
		return "runs a stand-in model engine";
	}

	@Override
	public int run(String[] args, PrintStream out, PrintStream err) throws Exception {
		EngineTiming defaults = EngineTiming.DEFAULT;
		Arguments arguments = TargetArguments.addTo(new Arguments())
			.option("models", "NAMES", "models served, with commas between")
			.option("step-micros", "MICROS", "duration of a batch step, default " + defaults.stepMicros())
			.option("sequence-micros", "MICROS",
					"what each sequence adds to a step, default " + defaults.sequenceMicros())
			.option("prefill-micros", "MICROS",
					"time for each uncached prompt token, default " + defaults.prefillMicrosPerToken())
			.option("max-running", "COUNT", "sequences in a batch, default " + defaults.maxRunning())
			.option("max-queued", "COUNT", "sequences waiting, default " + defaults.maxQueued())
			.option("cache-blocks", "COUNT", "blocks in the prefix cache, default " + defaults.cacheBlocks())
			.option("load-lag-millis", "MILLIS", "lag of load reports, default " + defaults.loadLagMillis())
			.option("price-micros", "MICROS", "price of a thousand tokens, default " + PRICE_MICROS);
		if (!arguments.parse(this, args, out)) {
			return OK;
		}
		return TargetArguments.serve(StandInEngine.start(settings(arguments)), arguments, out);
	}

	private static EngineSettings settings(Arguments arguments) throws ParseException {
		EngineTiming timing = timing(arguments);
		TargetPrice capacity = new TargetPrice(timing.maxRunning(), timing.tokensPerSecond(),
				arguments.number("price-micros", PRICE_MICROS), 0);
		TargetProfile profile = TargetArguments.profile(arguments, "MODEL", arguments.list("models"), capacity);
		return new EngineSettings(TargetArguments.place(arguments, profile), timing);
	}

	private static EngineTiming timing(Arguments arguments) throws ParseException {
		EngineTiming defaults = EngineTiming.DEFAULT;
		return new EngineTiming(arguments.number("step-micros", defaults.stepMicros()),
				arguments.number("sequence-micros", defaults.sequenceMicros()),
				arguments.number("prefill-micros", defaults.prefillMicrosPerToken()),
				(int) arguments.number("max-running", defaults.maxRunning()),
				(int) arguments.number("max-queued", defaults.maxQueued()),
				(int) arguments.number("cache-blocks", defaults.cacheBlocks()),
				arguments.number("load-lag-millis", defaults.loadLagMillis()));
	}

}
