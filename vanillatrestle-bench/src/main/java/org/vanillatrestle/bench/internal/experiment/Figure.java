package org.vanillatrestle.bench.internal.experiment;

import java.util.function.ToDoubleFunction;

/**
 * The figures that reports show.
 * <p>
 * Immutable and thread safe.
 */
enum Figure {

	/** Price of a thousand answers. */
	COST("cost per 1,000", RunResult::costPerThousand),

	/** Time to first token. */
	FIRST_P50("first p50 ms", RunResult::firstP50Millis),

	/** Time to first token. */
	FIRST_P95("first p95 ms", RunResult::firstP95Millis),

	/** Time to first token. */
	FIRST_P99("first p99 ms", RunResult::firstP99Millis),

	/** Time to first token. */
	FIRST_P999("first p99.9 ms", RunResult::firstP999Millis),

	/** Time to first token, lost requests at their deadline. */
	FIRST_LOST_P99("first p99 ms with lost", RunResult::firstWithLostP99Millis),

	/** Time to last token. */
	TOTAL_P50("total p50 ms", RunResult::totalP50Millis),

	/** Time to last token. */
	TOTAL_P95("total p95 ms", RunResult::totalP95Millis),

	/** Time to last token. */
	TOTAL_P99("total p99 ms", RunResult::totalP99Millis),

	/** Time to last token. */
	TOTAL_P999("total p99.9 ms", RunResult::totalP999Millis),

	/** Time between tokens. */
	BETWEEN_P95("between tokens p95 ms", RunResult::betweenTokensP95Millis),

	/** Requests sent to another region. */
	SENT_AWAY("sent away %", RunResult::sentAwayPercent),

	/** Answers within the deadline. */
	GOODPUT("goodput /s", RunResult::goodputPerSecond),

	/** Requests without an answer. */
	LOST("lost %", (result) -> 100.0 * result.lost() / Math.max(1, result.offered())),

	/** Attempts at targets or other VMs. */
	ATTEMPTS("attempts", RunResult::attemptsPerRequest),

	/** Answers whose prefix was cached. */
	PREFIX_HITS("prefix hits %", RunResult::prefixHitPercent),

	/** Calls of the plain service. */
	PLAIN_P99("plain p99 ms", RunResult::plainP99Millis),

	/** Calls of the plain service. */
	PLAIN_LOST("plain lost %", RunResult::plainLostPercent);

	private final String title;

	private final ToDoubleFunction<RunResult> figure;

	Figure(String title, ToDoubleFunction<RunResult> figure) {
		this.title = title;
		this.figure = figure;
	}

	String title() {
		return this.title;
	}

	ToDoubleFunction<RunResult> figure() {
		return this.figure;
	}

}
