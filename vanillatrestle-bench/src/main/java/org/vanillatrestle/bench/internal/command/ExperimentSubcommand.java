package org.vanillatrestle.bench.internal.command;

import java.io.PrintStream;

import org.vanillatrestle.bench.BenchCommand;
import org.vanillatrestle.bench.internal.experiment.ExperimentCommand;

/**
 * The subcommand {@code experiment}: compares policies in virtual time.
 * <p>
 * Stateless and thread safe.
 */
public final class ExperimentSubcommand implements BenchCommand {

	@Override
	public String name() {
		return "experiment";
	}

	@Override
	public String summary() {
		return "compares policies in virtual time by a file of scenes";
	}

	@Override
	public int run(String[] args, PrintStream out, PrintStream err) {
		return new ExperimentCommand(out, err).run(args);
	}

}
