package org.vanillatrestle.bench.internal.experiment;

import org.HdrHistogram.Histogram;

/**
 * What became of the requests of one run; requests of the warm-up don't count.
 * <p>
 * Latencies are counted from the intended start. A lost request counts in
 * {@code firstWithLost} as one that took until its deadline. Not thread safe.
 */
final class Outcomes {

	private static final long MAX_MICROS = 600_000_000;

	private static final int DIGITS = 3;

	private static final long NANOS_PER_MICRO = 1_000;

	private final long warmUpNanos;

	private final Histogram first = new Histogram(MAX_MICROS, DIGITS);

	private final Histogram firstWithLost = new Histogram(MAX_MICROS, DIGITS);

	private final Histogram total = new Histogram(MAX_MICROS, DIGITS);

	private final Histogram betweenTokens = new Histogram(MAX_MICROS, DIGITS);

	private final Histogram plainTotal = new Histogram(MAX_MICROS, DIGITS);

	private long offered;

	private long answered;

	private long refused;

	private long lost;

	private long plainOffered;

	private long plainLost;

	private long attempts;

	private long sentAway;

	private long prefixHits;

	private long costMicros;

	Outcomes(long warmUpNanos) {
		this.warmUpNanos = warmUpNanos;
	}

	boolean counts(SimulatedRequest request) {
		return request.intendedNanos() >= this.warmUpNanos;
	}

	void offered(SimulatedRequest request) {
		if (counts(request)) {
			this.offered += request.plain() ? 0 : 1;
			this.plainOffered += request.plain() ? 1 : 0;
		}
	}

	void attempted(SimulatedRequest request) {
		this.attempts += (counts(request) && !request.plain()) ? 1 : 0;
	}

	void sentAway(SimulatedRequest request) {
		this.sentAway += (counts(request) && !request.plain()) ? 1 : 0;
	}

	void cost(SimulatedRequest request, long micros) {
		this.costMicros += (counts(request) && !request.plain()) ? micros : 0;
	}

	void answered(SimulatedRequest request, long firstNanos, long nowNanos, int tokens, boolean prefixHit) {
		if (!counts(request)) {
			return;
		}
		if (request.plain()) {
			this.plainTotal.recordValue((nowNanos - request.intendedNanos()) / NANOS_PER_MICRO);
			return;
		}
		this.answered++;
		this.prefixHits += prefixHit ? 1 : 0;
		long firstMicros = (firstNanos - request.intendedNanos()) / NANOS_PER_MICRO;
		this.first.recordValue(firstMicros);
		this.firstWithLost.recordValue(firstMicros);
		this.total.recordValue((nowNanos - request.intendedNanos()) / NANOS_PER_MICRO);
		if (tokens > 1) {
			this.betweenTokens.recordValue((nowNanos - firstNanos) / (tokens - 1) / NANOS_PER_MICRO);
		}
	}

	void lost(SimulatedRequest request, boolean wasRefused) {
		if (!counts(request)) {
			return;
		}
		if (request.plain()) {
			this.plainLost++;
			return;
		}
		this.lost++;
		this.refused += wasRefused ? 1 : 0;
		this.firstWithLost.recordValue((request.deadlineNanos() - request.intendedNanos()) / NANOS_PER_MICRO);
	}

	RunResult result(double seconds, long linkBytes) {
		double thousandAnswers = Math.max(1, this.answered) / 1_000.0;
		return new RunResult(this.offered, this.answered, this.lost, this.refused, this.answered / seconds,
				this.costMicros / 1e6 / thousandAnswers, millis(this.first, 50), millis(this.first, 95),
				millis(this.first, 99), millis(this.first, 99.9), millis(this.firstWithLost, 99),
				millis(this.total, 50), millis(this.total, 95), millis(this.total, 99), millis(this.total, 99.9),
				millis(this.betweenTokens, 95), percent(this.sentAway, this.offered),
				this.attempts / (double) Math.max(1, this.offered), percent(this.prefixHits, this.answered),
				millis(this.plainTotal, 99), percent(this.plainLost, this.plainOffered), linkBytes / 1e6);
	}

	private static double millis(Histogram histogram, double percentile) {
		return histogram.getValueAtPercentile(percentile) / 1_000.0;
	}

	private static double percent(long part, long whole) {
		return 100.0 * part / Math.max(1, whole);
	}

}
