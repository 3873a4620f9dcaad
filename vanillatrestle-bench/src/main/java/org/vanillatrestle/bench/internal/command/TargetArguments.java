package org.vanillatrestle.bench.internal.command;

import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import org.apache.commons.cli.ParseException;
import org.vanillatrestle.bench.BenchCommand;
import org.vanillatrestle.bench.internal.standin.StandInPlace;
import org.vanillatrestle.bench.internal.standin.StandInTarget;
import org.vanillatrestle.bench.internal.standin.TargetPrice;
import org.vanillatrestle.bench.internal.standin.TargetProfile;

/**
 * The options that both kinds of stand-in targets share.
 * <p>
 * Stateless and thread safe.
 */
final class TargetArguments {

	static final String DEFAULT_HOST = "127.0.0.1";

	private static final long LEAVE_MILLIS = 20_000;

	private TargetArguments() {
	}

	static Arguments addTo(Arguments arguments) {
		return arguments.option("id", "ID", "the target's id")
			.option("host", "ADDRESS", "address to listen on, default " + DEFAULT_HOST)
			.option("port", "PORT", "port to listen on, default a free one")
			.option("data-centre", "NAME", "the target's data centre")
			.option("service", "NAME", "the service it belongs to")
			.option("customer", "NAME", "the customer it serves alone, default all")
			.option("entries", "HOST:PORT,...", "entry VMs to announce to, default none")
			.option("secret", "TEXT", "shared secret sent with announcements");
	}

	static TargetProfile profile(Arguments arguments, String kind, List<String> models, TargetPrice capacity)
			throws ParseException {
		return new TargetProfile(arguments.required("id"), kind, arguments.required("data-centre"),
				arguments.required("service"), arguments.text("customer", ""), models, capacity,
				arguments.list("entries"), arguments.text("secret", ""));
	}

	static StandInPlace place(Arguments arguments, TargetProfile profile) throws ParseException {
		return new StandInPlace(arguments.text("host", DEFAULT_HOST), (int) arguments.number("port", 0), profile);
	}

	/**
	 * Serves until the process is asked to end, and then leaves.
	 * @param target the running target
	 * @param arguments its arguments
	 * @param out where the start-up line goes
	 * @return the exit code
	 * @throws InterruptedException if the wait is interrupted
	 */
	static int serve(StandInTarget target, Arguments arguments, PrintStream out) throws InterruptedException {
		out.println("Target: listens on " + arguments.text("host", DEFAULT_HOST) + ":" + target.port());
		Runtime.getRuntime().addShutdownHook(new Thread(() -> leave(target)));
		new CountDownLatch(1).await();
		return BenchCommand.OK;
	}

	private static void leave(StandInTarget target) {
		try {
			target.leave(LEAVE_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
