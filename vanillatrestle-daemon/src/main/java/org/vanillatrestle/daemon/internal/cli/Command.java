package org.vanillatrestle.daemon.internal.cli;

import java.io.PrintStream;

/**
 * A subcommand of the command line.
 * <p>
 * Stateless and thread safe.
 */
public interface Command {

	/**
	 * Returns the name of the command, which may consist of several words.
	 * @return the name, for example {@code settings check}
	 */
	String name();

	/**
	 * Runs the command.
	 * @param args the arguments after the command's name
	 * @param out the stream for results
	 * @param err the stream for error messages
	 * @return the exit code
	 */
	int run(String[] args, PrintStream out, PrintStream err);

}
