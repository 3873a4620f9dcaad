package org.vanillatrestle.bench.internal.load;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.HdrHistogram.Histogram;
import org.vanillatrestle.bench.internal.http.Responses;

/**
 * What the load generator measured. Durations are in nanoseconds and count from the
 * intended start of a request.
 * <p>
 * Not thread safe.
 */
public final class LoadResult {

	private static final int DIGITS = 3;

	private static final double[] PERCENTILES = { 50, 90, 95, 99, 99.9 };

	private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private final Histogram firstToken = new Histogram(DIGITS);

	private final Histogram betweenTokens = new Histogram(DIGITS);

	private final Histogram delivery = new Histogram(DIGITS);

	private final Histogram total = new Histogram(DIGITS);

	private final Map<AnswerKind, Long> answers = new EnumMap<>(AnswerKind.class);

	private long tokens;

	private int peakInFlight;

	private long measuredNanos;

	/**
	 * Returns the time to the first token of streams, or to the first byte of others.
	 * @return the histogram in nanoseconds
	 */
	public Histogram firstToken() {
		return this.firstToken;
	}

	/**
	 * Returns the time between one token and the next.
	 * @return the histogram in nanoseconds
	 */
	public Histogram betweenTokens() {
		return this.betweenTokens;
	}

	/**
	 * Returns the time from the engine's sending of a token to its arrival, where both
	 * run on one machine.
	 * @return the histogram in nanoseconds
	 */
	public Histogram delivery() {
		return this.delivery;
	}

	/**
	 * Returns the time to the end of whole answers.
	 * @return the histogram in nanoseconds
	 */
	public Histogram total() {
		return this.total;
	}

	/**
	 * Returns how many requests ended in one way.
	 * @param kind how they ended
	 * @return the count
	 */
	public long count(AnswerKind kind) {
		return this.answers.getOrDefault(kind, 0L);
	}

	/**
	 * Returns how many whole answers arrived per second.
	 * @return the rate
	 */
	public double wholePerSecond() {
		return count(AnswerKind.WHOLE) / seconds();
	}

	void ended(AnswerKind kind) {
		this.answers.merge(kind, 1L, Long::sum);
	}

	void tokens(int count) {
		this.tokens += count;
	}

	void inFlight(int count) {
		this.peakInFlight = Math.max(this.peakInFlight, count);
	}

	void measured(long nanos) {
		this.measuredNanos = nanos;
	}

	/**
	 * Adds another result of the same length of time.
	 * @param other the result
	 */
	public void addParallel(LoadResult other) {
		long nanos = Math.max(this.measuredNanos, other.measuredNanos);
		addSequential(other);
		this.measuredNanos = nanos;
	}

	/**
	 * Adds another result measured at another time.
	 * @param other the result
	 */
	public void addSequential(LoadResult other) {
		this.firstToken.add(other.firstToken);
		this.betweenTokens.add(other.betweenTokens);
		this.delivery.add(other.delivery);
		this.total.add(other.total);
		other.answers.forEach((kind, count) -> this.answers.merge(kind, count, Long::sum));
		this.tokens += other.tokens;
		this.peakInFlight = Math.max(this.peakInFlight, other.peakInFlight);
		this.measuredNanos += other.measuredNanos;
	}

	private double seconds() {
		return Math.max(1, this.measuredNanos) / (double) TimeUnit.SECONDS.toNanos(1);
	}

	/**
	 * Writes the result as JSON with durations in milliseconds.
	 * @return the object
	 */
	public ObjectNode toJson() {
		ObjectNode top = Responses.object().put("measuredSeconds", seconds());
		ObjectNode counts = top.putObject("answers");
		for (AnswerKind kind : AnswerKind.values()) {
			counts.put(kind.name(), count(kind));
		}
		top.put("wholePerSecond", wholePerSecond())
			.put("tokensPerSecond", this.tokens / seconds())
			.put("peakInFlight", this.peakInFlight);
		top.set("firstTokenMillis", percentiles(this.firstToken));
		top.set("betweenTokensMillis", percentiles(this.betweenTokens));
		top.set("deliveryMillis", percentiles(this.delivery));
		top.set("totalMillis", percentiles(this.total));
		return top;
	}

	/**
	 * Writes the result as text.
	 * @return some lines
	 */
	public String toText() {
		StringBuilder text = new StringBuilder();
		text.append(String.format(Locale.ROOT, "answers %s, %.1f whole/s, %.0f tokens/s, peak in flight %d%n",
				this.answers, wholePerSecond(), this.tokens / seconds(), this.peakInFlight));
		line(text, "first token", this.firstToken);
		line(text, "between tokens", this.betweenTokens);
		line(text, "delivery", this.delivery);
		line(text, "total", this.total);
		return text.toString();
	}

	private static void line(StringBuilder text, String name, Histogram histogram) {
		if (histogram.getTotalCount() == 0) {
			return;
		}
		text.append(String.format(Locale.ROOT, "%-15s ms", name));
		for (double percentile : PERCENTILES) {
			text.append(String.format(Locale.ROOT, "  p%s %.3f", name(percentile),
					histogram.getValueAtPercentile(percentile) / NANOS_PER_MILLI));
		}
		text.append(String.format(Locale.ROOT, "  max %.3f%n", histogram.getMaxValue() / NANOS_PER_MILLI));
	}

	private static ObjectNode percentiles(Histogram histogram) {
		ObjectNode node = Responses.object().put("count", histogram.getTotalCount());
		for (double percentile : PERCENTILES) {
			node.put("p" + name(percentile), histogram.getValueAtPercentile(percentile) / NANOS_PER_MILLI);
		}
		return node.put("max", histogram.getMaxValue() / NANOS_PER_MILLI);
	}

	private static String name(double percentile) {
		return (percentile == Math.rint(percentile)) ? Long.toString((long) percentile) : Double.toString(percentile);
	}

}
