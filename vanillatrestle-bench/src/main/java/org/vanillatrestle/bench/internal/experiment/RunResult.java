package org.vanillatrestle.bench.internal.experiment;

/**
 * The figures of one run, of model requests unless said otherwise.
 * <p>
 * Immutable and thread safe. Goodput is answers within the deadline a second; sent away
 * and attempts are relative to the requests offered.
 *
 * @param offered requests
 * @param answered whole answers within the deadline
 * @param lost requests without one, refused ones included
 * @param refused requests refused
 * @param goodputPerSecond answers a second
 * @param costPerThousand price of a thousand answers, transfers included
 * @param firstP50Millis time to first token
 * @param firstP95Millis time to first token
 * @param firstP99Millis time to first token
 * @param firstP999Millis time to first token
 * @param firstWithLostP99Millis time to first token, lost requests at their deadline
 * @param totalP50Millis time to last token
 * @param totalP95Millis time to last token
 * @param totalP99Millis time to last token
 * @param totalP999Millis time to last token
 * @param betweenTokensP95Millis mean time between tokens of a request
 * @param sentAwayPercent requests sent to another region
 * @param attemptsPerRequest attempts at targets or other VMs
 * @param prefixHitPercent answers whose prefix was cached
 * @param plainP99Millis time to the answer of calls of the plain service
 * @param plainLostPercent calls of the plain service without an answer
 * @param linkMegabytes bytes between regions
 */
record RunResult(long offered, long answered, long lost, long refused, double goodputPerSecond, double costPerThousand,
		double firstP50Millis, double firstP95Millis, double firstP99Millis, double firstP999Millis,
		double firstWithLostP99Millis, double totalP50Millis, double totalP95Millis, double totalP99Millis,
		double totalP999Millis, double betweenTokensP95Millis, double sentAwayPercent, double attemptsPerRequest,
		double prefixHitPercent, double plainP99Millis, double plainLostPercent, double linkMegabytes) {

}
