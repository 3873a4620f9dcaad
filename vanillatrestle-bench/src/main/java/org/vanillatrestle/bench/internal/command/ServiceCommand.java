package org.vanillatrestle.bench.internal.command;

import java.io.PrintStream;
import java.util.List;

import org.vanillatrestle.bench.BenchCommand;
import org.vanillatrestle.bench.internal.service.ServiceSettings;
import org.vanillatrestle.bench.internal.service.StandInService;
import org.vanillatrestle.bench.internal.standin.TargetPrice;
import org.vanillatrestle.bench.internal.standin.TargetProfile;

/**
 * Runs a stand-in plain service until the process is asked to end.
 * <p>
 * Stateless and thread safe.
 */
public final class ServiceCommand implements BenchCommand {

	private static final int MAX_RUNNING = 100;

	private static final long PRICE_MICROS = 10;

	private static final long LOAD_LAG_MILLIS = 500;

	@Override
	public String name() {
		return "service";
	}

	@Override
	public String summary() {
		return "runs a stand-in plain service with balances, payouts and submissions";
	}

	@Override
	public int run(String[] args, PrintStream out, PrintStream err) throws Exception {
		Arguments arguments = TargetArguments.addTo(new Arguments())
			.option("delay-millis", "MILLIS", "how long each call takes, default 0")
			.option("load-lag-millis", "MILLIS", "lag of load reports, default " + LOAD_LAG_MILLIS)
			.option("max-running", "COUNT", "capacity it announces, default " + MAX_RUNNING)
			.option("price-micros", "MICROS", "price of a request, default " + PRICE_MICROS);
		if (!arguments.parse(this, args, out)) {
			return OK;
		}
		TargetPrice capacity = new TargetPrice((int) arguments.number("max-running", MAX_RUNNING), 0, 0,
				arguments.number("price-micros", PRICE_MICROS));
		TargetProfile profile = TargetArguments.profile(arguments, "PLAIN", List.of(), capacity);
		ServiceSettings settings = new ServiceSettings(TargetArguments.place(arguments, profile),
				arguments.number("delay-millis", 0), arguments.number("load-lag-millis", LOAD_LAG_MILLIS));
		return TargetArguments.serve(StandInService.start(settings), arguments, out);
	}

}
