package org.vanillatrestle.bench.internal.command;

import java.io.PrintStream;

import org.vanillatrestle.bench.BenchCommand;

/**
 * A subcommand that runs one of the measurement programs.
 * <p>
 * Immutable and thread safe.
 */
public final class MeasureCommand implements BenchCommand {

	private final String name;

	private final String summary;

	private final Program program;

	/**
	 * Creates a subcommand.
	 * @param name its name
	 * @param summary what it measures
	 * @param program the program
	 */
	public MeasureCommand(String name, String summary, Program program) {
		this.name = name;
		this.summary = summary;
		this.program = program;
	}

	@Override
	public String name() {
		return this.name;
	}

	@Override
	public String summary() {
		return this.summary;
	}

	@Override
	public int run(String[] args, PrintStream out, PrintStream err) throws Exception {
		this.program.run(args);
		return OK;
	}

	/**
	 * A measurement program that prints to standard output.
	 */
	@FunctionalInterface
	public interface Program {

		/**
		 * Runs the program.
		 * @param args its arguments
		 * @throws Exception if it fails
		 */
		void run(String[] args) throws Exception;

	}

}
