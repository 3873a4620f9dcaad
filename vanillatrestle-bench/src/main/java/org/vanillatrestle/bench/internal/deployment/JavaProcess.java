package org.vanillatrestle.bench.internal.deployment;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A process that runs a main class on this process's class path.
 * <p>
 * Thread safe. Only this very process is ever signalled. Closing it kills it.
 */
public final class JavaProcess implements AutoCloseable {

	private final Process process;

	private JavaProcess(Process process) {
		this.process = process;
	}

	/**
	 * Starts a process.
	 * @param log the file that gets its output
	 * @param options options of the JVM
	 * @param mainClass the main class
	 * @param args its arguments
	 * @return the running process
	 * @throws IOException if it can't be started
	 */
	public static JavaProcess start(Path log, List<String> options, String mainClass, List<String> args)
			throws IOException {
		List<String> command = new ArrayList<>();
		command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
		command.addAll(options);
		command.add("-cp");
		command.add(System.getProperty("java.class.path"));
		command.add(mainClass);
		command.addAll(args);
		ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
		return new JavaProcess(builder.start());
	}

	/**
	 * Asks the process to end, by SIGTERM.
	 */
	public void terminate() {
		this.process.destroy();
	}

	/**
	 * Kills the process, by SIGKILL, and waits until it is gone.
	 * @throws InterruptedException if the wait is interrupted
	 */
	public void kill() throws InterruptedException {
		this.process.destroyForcibly();
		this.process.waitFor();
	}

	/**
	 * Freezes or thaws the process, by SIGSTOP or SIGCONT. A frozen process is silent:
	 * its connections stay open and nothing is answered.
	 * @param frozen whether to freeze it
	 * @throws IOException if the signal can't be sent
	 * @throws InterruptedException if the wait is interrupted
	 */
	public void freeze(boolean frozen) throws IOException, InterruptedException {
		String signal = frozen ? "-STOP" : "-CONT";
		new ProcessBuilder("kill", signal, Long.toString(this.process.pid())).start().waitFor();
	}

	/**
	 * Waits for the end of the process.
	 * @param maxMillis the longest to wait
	 * @return whether it has ended
	 * @throws InterruptedException if the wait is interrupted
	 */
	public boolean await(long maxMillis) throws InterruptedException {
		return this.process.waitFor(maxMillis, TimeUnit.MILLISECONDS);
	}

	public boolean isAlive() {
		return this.process.isAlive();
	}

	public int exitCode() {
		return this.process.exitValue();
	}

	/**
	 * Returns the processor time used so far.
	 * @return the time, zero if the system doesn't tell
	 */
	public Duration cpuTime() {
		return this.process.info().totalCpuDuration().orElse(Duration.ZERO);
	}

	@Override
	public void close() {
		this.process.destroyForcibly();
	}

}
