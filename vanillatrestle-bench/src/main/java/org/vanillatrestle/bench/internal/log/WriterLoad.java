package org.vanillatrestle.bench.internal.log;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.LongAdder;

import org.HdrHistogram.ConcurrentHistogram;
import org.vanillatrestle.daemon.internal.replica.ProposalOutcome;
import org.vanillatrestle.daemon.internal.replica.ReplicaHost;

/**
 * A number of writers, each of which proposes its next command when the last one is
 * acknowledged.
 * <p>
 * Writers are callbacks on the replica's thread, not threads. Used once.
 */
final class WriterLoad {

	private static final long MAX_MICROS = 60_000_000;

	private final ReplicaHost host;

	private final byte[] command;

	private final ConcurrentHistogram latencyMicros = new ConcurrentHistogram(MAX_MICROS, 3);

	private final LongAdder failures = new LongAdder();

	private final AtomicBoolean measuring = new AtomicBoolean();

	private final AtomicBoolean stopping = new AtomicBoolean();

	WriterLoad(ReplicaHost host, int commandBytes) {
		this.host = host;
		this.command = new byte[commandBytes];
	}

	Result run(int writers, long warmupMillis, long runMillis) throws InterruptedException {
		CountDownLatch ended = new CountDownLatch(writers);
		for (int i = 0; i < writers; i++) {
			propose(ended);
		}
		Thread.sleep(warmupMillis);
		this.measuring.set(true);
		long began = System.nanoTime();
		Thread.sleep(runMillis);
		this.measuring.set(false);
		double seconds = (System.nanoTime() - began) / 1e9;
		this.stopping.set(true);
		ended.await();
		return new Result(this.latencyMicros.getTotalCount() / seconds, this.latencyMicros.getValueAtPercentile(50),
				this.latencyMicros.getValueAtPercentile(99), this.failures.sum());
	}

	private void propose(CountDownLatch ended) {
		if (this.stopping.get()) {
			ended.countDown();
			return;
		}
		long began = System.nanoTime();
		this.host.propose(this.command).thenAccept((outcome) -> {
			ended(outcome, began);
			propose(ended);
		});
	}

	private void ended(ProposalOutcome outcome, long began) {
		if (!this.measuring.get()) {
			return;
		}
		if (outcome instanceof ProposalOutcome.Committed) {
			this.latencyMicros.recordValue(Math.min(MAX_MICROS, (System.nanoTime() - began) / 1000));
		}
		else {
			this.failures.increment();
		}
	}

	/**
	 * What was measured.
	 *
	 * @param perSecond acknowledged commands a second
	 * @param p50Micros the median latency
	 * @param p99Micros the 99th percentile of the latency
	 * @param failures proposals that were not acknowledged
	 */
	record Result(double perSecond, long p50Micros, long p99Micros, long failures) {
	}

}
