package org.vanillatrestle.daemon.internal.cli;

import java.io.PrintStream;

/**
 * One subcommand of the command line.
 * <p>
 * Stateless and thread safe.
 */
public interface Command {

	/**
	 * Returns the words that call the command.
	 * @return the words, for example {@code settings check}
	 */
	String name();

	/**
	 * Runs the command.
	 * @param args what follows the command's name
	 * @param out where results go
	 * @param err where errors go
	 * @return the exit code
	 */
	int run(String[] args, PrintStream out, PrintStream err);

}
