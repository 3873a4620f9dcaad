package org.vanillatrestle.bench;

import java.io.PrintStream;

/**
 * One subcommand of the bench.
 * <p>
 * Implementations are stateless and thread safe.
 */
public interface BenchCommand {

	/**
	 * Exit code of a run that did what it was asked.
	 */
	int OK = 0;

	/**
	 * Exit code of a run that found a broken promise or failed.
	 */
	int FAILED = 1;

	/**
	 * Exit code of wrong arguments or settings.
	 */
	int WRONG_USAGE = 2;

	/**
	 * Returns the subcommand's name.
	 * @return the name, one word
	 */
	String name();

	/**
	 * Returns what the subcommand does.
	 * @return one line
	 */
	String summary();

	/**
	 * Runs the subcommand.
	 * @param args the arguments after the name
	 * @param out where results go
	 * @param err where errors go
	 * @return the exit code
	 * @throws Exception if the run fails
	 */
	int run(String[] args, PrintStream out, PrintStream err) throws Exception;

}
