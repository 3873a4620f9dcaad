package org.vanillatrestle.bench.internal.log;

import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import org.vanillatrestle.daemon.internal.replica.ProposalOutcome;

/**
 * Measures the replicated log with real files: throughput and latency with and without
 * group commit, recovery, and an idle replica.
 * <p>
 * Arguments: the folder to work in, which should be on the disk to be measured, and the
 * milliseconds of each run.
 */
public final class LogBenchmark {

	private static final int COMMAND_BYTES = 200;

	private static final int GROUP_COMMIT = 1024;

	private static final int ONE_BY_ONE = 1;

	private static final long WARMUP_MILLIS = 1000;

	private static final int[] CHANGES = { 100, 1000, 2600, 10_000 };

	private static final int RECOVERIES = 5;

	private static final double NANOS_PER_MILLI = 1e6;

	private final Path folder;

	private final long runMillis;

	private final PrintStream out;

	private LogBenchmark(Path folder, long runMillis, PrintStream out) {
		this.folder = folder;
		this.runMillis = runMillis;
		this.out = out;
	}

	public static void main(String[] args) throws IOException, InterruptedException {
		run(args);
	}

	/**
	 * Runs every measurement and prints the figures.
	 * @param args the folder, then the milliseconds of each run
	 * @throws IOException if the folder can't be used
	 * @throws InterruptedException if the thread is interrupted
	 */
	public static void run(String[] args) throws IOException, InterruptedException {
		Path folder = Path.of((args.length > 0) ? args[0] : "target/log-benchmark");
		long runMillis = (args.length > 1) ? Long.parseLong(args[1]) : 5000;
		LogBenchmark benchmark = new LogBenchmark(folder, runMillis, System.out);
		benchmark.throughput();
		benchmark.recovery();
		benchmark.idle();
	}

	private void throughput() throws IOException, InterruptedException {
		this.out.println("replicas  writers  batch  entries/s  p50 ms  p99 ms  failures");
		for (int size : new int[] { 1, 3 }) {
			for (int writers : new int[] { 1, 64, 512 }) {
				for (int batch : new int[] { ONE_BY_ONE, GROUP_COMMIT, ONE_BY_ONE, GROUP_COMMIT }) {
					throughput(size, writers, batch);
				}
			}
		}
	}

	private void throughput(int size, int writers, int batch) throws IOException, InterruptedException {
		Path work = empty("throughput");
		try (LocalGroup group = LocalGroup.form(work, size, batch)) {
			WriterLoad load = new WriterLoad(group.leader(), COMMAND_BYTES);
			WriterLoad.Result result = load.run(writers, WARMUP_MILLIS, this.runMillis);
			print("%8d %8d %6d %10.0f %7.2f %7.2f %9d", size, writers, batch, result.perSecond(),
					result.p50Micros() / 1000.0, result.p99Micros() / 1000.0, result.failures());
		}
	}

	private void recovery() throws IOException, InterruptedException {
		this.out.println("changes  first ready ms  best ready ms  bytes read");
		for (int changes : CHANGES) {
			Path work = empty("recovery");
			try (LocalGroup group = LocalGroup.form(work, 1, GROUP_COMMIT)) {
				write(group, changes);
			}
			recovery(work, changes);
		}
	}

	private void recovery(Path work, int changes) throws IOException, InterruptedException {
		List<Double> millis = new ArrayList<>();
		long bytes = 0;
		for (int i = 0; i < RECOVERIES; i++) {
			long began = System.nanoTime();
			try (LocalGroup group = LocalGroup.reopen(work)) {
				millis.add((System.nanoTime() - began) / NANOS_PER_MILLI);
				bytes = group.leader().recoveredBytes();
			}
		}
		double best = millis.stream().min(Comparator.naturalOrder()).orElseThrow();
		print("%7d %15.1f %14.1f %11d", changes, millis.get(0), best, bytes);
	}

	private static void write(LocalGroup group, int changes) throws InterruptedException {
		List<CompletableFuture<ProposalOutcome>> futures = new ArrayList<>();
		for (int i = 0; i < changes; i++) {
			futures.add(group.leader().propose(new byte[COMMAND_BYTES]));
		}
		for (CompletableFuture<ProposalOutcome> future : futures) {
			if (!(future.join() instanceof ProposalOutcome.Committed)) {
				throw new IllegalStateException("a change was not acknowledged");
			}
		}
	}

	private void idle() throws IOException, InterruptedException {
		Path work = empty("idle");
		try (LocalGroup group = LocalGroup.form(work, 3, GROUP_COMMIT)) {
			Thread.sleep(WARMUP_MILLIS);
			long cpu = replicaCpuNanos();
			long messages = group.messages();
			long bytes = group.bytes();
			long began = System.nanoTime();
			Thread.sleep(2 * this.runMillis);
			double seconds = (System.nanoTime() - began) / 1e9;
			print("idle group of 3: %.3f%% of a core a replica, %.1f messages/s and %.0f bytes/s in the group",
					(replicaCpuNanos() - cpu) / seconds / 1e9 / 3 * 100, (group.messages() - messages) / seconds,
					(group.bytes() - bytes) / seconds);
		}
	}

	private static long replicaCpuNanos() {
		ThreadMXBean threads = ManagementFactory.getThreadMXBean();
		return Stream.of(threads.dumpAllThreads(false, false))
			.filter((info) -> info.getThreadName().startsWith("replica-"))
			.mapToLong((info) -> threads.getThreadCpuTime(info.getThreadId()))
			.sum();
	}

	private Path empty(String name) throws IOException {
		Path work = this.folder.resolve(name);
		if (Files.exists(work)) {
			try (Stream<Path> files = Files.walk(work)) {
				for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
					Files.delete(file);
				}
			}
		}
		return work;
	}

	private void print(String format, Object... values) {
		this.out.println(String.format(Locale.ROOT, format, values));
	}

}
