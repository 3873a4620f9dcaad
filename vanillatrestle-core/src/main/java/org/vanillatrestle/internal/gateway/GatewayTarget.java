package org.vanillatrestle.internal.gateway;

import java.util.concurrent.TimeUnit;

import org.vanillatrestle.TargetId;
import org.vanillatrestle.internal.admission.TokenBucket;
import org.vanillatrestle.internal.fleet.InFlightLoad;
import org.vanillatrestle.internal.fleet.RequestLimit;
import org.vanillatrestle.internal.fleet.TargetReport;

/**
 * This VM's view of one target: its latest report, its load and its health.
 * <p>
 * The load is what this VM has in flight plus what the other VMs last reported. Not
 * thread safe.
 */
public final class GatewayTarget {

	private static final long NEW_TARGET_NANOS = TimeUnit.SECONDS.toNanos(4);

	private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private final PrefixCache prefixCache = new PrefixCache();

	private final ColdRequestLimiter coldLimiter = new ColdRequestLimiter();

	private TargetHealth health = new TargetHealth();

	private TargetSpeed speed = new TargetSpeed();

	private final ReadingRate readingRate = new ReadingRate();

	private TargetReport report;

	private long coldUntilNanos;

	private long forcedColdUntilNanos;

	private long pausedUntilNanos;

	private long limitStatedNanos;

	// null while the target states no limit
	private TokenBucket limiter;

	private long startedNanos;

	private long conditionSinceNanos;

	private long lastProgressNanos;

	// whether this incarnation has answered this VM
	private boolean hasAnswered;

	private InFlightLoad own;

	private InFlightLoad others;

	GatewayTarget(TargetReport report, long nowNanos) {
		this.forcedColdUntilNanos = nowNanos;
		this.pausedUntilNanos = nowNanos;
		this.lastProgressNanos = nowNanos;
		this.own = new InFlightLoad(report.target(), 0, 0, 0);
		this.others = this.own;
		update(report, nowNanos);
	}

	/**
	 * Applies a newer report. If the target has restarted, its cached prompt parts, its
	 * health, its measured speed, its pause and its limit are reset.
	 * @param newer the report
	 * @param nowNanos the monotonic time
	 */
	void update(TargetReport newer, long nowNanos) {
		boolean restarted = this.report != null && this.report.startedMillis() != newer.startedMillis();
		if (restarted || this.report == null) {
			this.startedNanos = nowNanos;
		}
		if (restarted) {
			this.prefixCache.clear();
			this.health = new TargetHealth();
			this.speed = new TargetSpeed();
			this.pausedUntilNanos = nowNanos;
			this.limiter = null;
			this.hasAnswered = false;
		}
		if (this.report == null || restarted || this.report.condition() != newer.condition()) {
			this.conditionSinceNanos = nowNanos;
		}
		applyLimit(newer.limit(), nowNanos);
		this.report = newer;
		this.coldUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(newer.warmUpRemainingMillis());
	}

	private void applyLimit(RequestLimit limit, long nowNanos) {
		if (!limit.isFinite()) {
			this.limiter = null;
			return;
		}
		if (this.limiter == null) {
			this.limiter = TokenBucket.pacing(nowNanos);
			this.limitStatedNanos = nowNanos;
		}
		else if (!limit.equals(this.report.limit())) {
			this.limitStatedNanos = nowNanos;
		}
	}

	/**
	 * Treats the target as cold for at least the given time, whatever its reports say.
	 * @param millis the time in milliseconds
	 * @param nowNanos the monotonic time
	 */
	void treatAsCold(long millis, long nowNanos) {
		this.forcedColdUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
	}

	/**
	 * Pauses sending to the target, as it asked for. A later call can extend the pause
	 * but never shortens it.
	 * @param millis the length of the pause in milliseconds
	 * @param nowNanos the monotonic time
	 */
	void pause(long millis, long nowNanos) {
		long untilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
		if (untilNanos - this.pausedUntilNanos > 0) {
			this.pausedUntilNanos = untilNanos;
		}
	}

	/**
	 * Returns the time left of the pause that the target asked this VM for.
	 * @param nowNanos the monotonic time
	 * @return the time in milliseconds, rounded up, 0 if there is no pause
	 */
	long pausedMillis(long nowNanos) {
		long leftNanos = Math.max(0, this.pausedUntilNanos - nowNanos);
		return TimeUnit.NANOSECONDS.toMillis(leftNanos + NANOS_PER_MILLI - 1);
	}

	/**
	 * Notes a limit that an answer of this incarnation states, or that it states none.
	 * @param requestsPerSecond the requests per second that the target takes from all VMs
	 * together, {@link Double#POSITIVE_INFINITY} if there is no limit
	 * @param sentNanos the monotonic time at which the answered request was sent
	 * @param nowNanos the monotonic time
	 * @return whether the statement is the first one or changes the limit. A looser limit
	 * does so only if the request was sent after the stricter one had last been stated,
	 * because answers may overtake each other
	 */
	boolean isLimitChangedBy(double requestsPerSecond, long sentNanos, long nowNanos) {
		RequestLimit known = this.report.limit();
		if (requestsPerSecond > known.requestsPerSecond()) {
			return sentNanos - this.limitStatedNanos > 0;
		}
		this.limitStatedNanos = nowNanos;
		return known.isChangedBy(requestsPerSecond);
	}

	/**
	 * Returns when this VM may send the next request within its share of the limit. Must
	 * be called only while the target states a limit.
	 * @param sharePerSecond the requests per second that this VM may send
	 * @param nowNanos the monotonic time
	 * @return the time in nanoseconds from now, {@link Long#MAX_VALUE} if this VM has no
	 * share
	 */
	long nanosUntilWithinLimit(double sharePerSecond, long nowNanos) {
		this.limiter.updateRate(sharePerSecond, nowNanos);
		return (sharePerSecond > 0) ? this.limiter.nanosUntilAvailable(1, nowNanos) : Long.MAX_VALUE;
	}

	void recordSent(long unreadTokens, long nowNanos) {
		this.coldLimiter.recordSent(nowNanos);
		this.readingRate.recordSent(unreadTokens, nowNanos);
		if (this.limiter != null) {
			this.limiter.tryConsume(1, nowNanos);
		}
	}

	void recordProgress(long nowNanos) {
		this.lastProgressNanos = nowNanos;
	}

	void recordAnswer() {
		this.hasAnswered = true;
	}

	/**
	 * Returns whether the target has answered some VM of the region, so that its limit is
	 * known.
	 * @return whether this VM has had an answer or knows of another VM's
	 */
	boolean hasAnswered() {
		return this.hasAnswered || this.report.limit().isStated();
	}

	/**
	 * Returns the time since any answer of the target last made progress at this VM.
	 * @param nowNanos the monotonic time
	 * @return the time in milliseconds
	 */
	public long silentMillis(long nowNanos) {
		return (nowNanos - this.lastProgressNanos) / NANOS_PER_MILLI;
	}

	/**
	 * Returns the time since this VM last had a complete answer of the target, if its
	 * service is a plain one.
	 * @param nowNanos the monotonic time
	 * @return the time in milliseconds, -1 if there was none
	 */
	public long answerAgeMillis(long nowNanos) {
		return this.speed.answerTime().ageMillis(nowNanos);
	}

	/**
	 * Returns the time since this VM learned of the target's present condition.
	 * @param nowNanos the monotonic time
	 * @return the time in milliseconds
	 */
	public long conditionMillis(long nowNanos) {
		return (nowNanos - this.conditionSinceNanos) / NANOS_PER_MILLI;
	}

	public TargetReport report() {
		return this.report;
	}

	public TargetId id() {
		return this.report.target();
	}

	// a target that started recently has hardly any prompt parts cached
	boolean isNew(long nowNanos) {
		return nowNanos - this.startedNanos < NEW_TARGET_NANOS;
	}

	boolean isCold(long nowNanos) {
		return Math.max(this.coldUntilNanos, this.forcedColdUntilNanos) - nowNanos > 0;
	}

	TargetHealth health() {
		return this.health;
	}

	TargetSpeed speed() {
		return this.speed;
	}

	ColdRequestLimiter coldLimiter() {
		return this.coldLimiter;
	}

	PrefixCache prefixCache() {
		return this.prefixCache;
	}

	ReadingRate readingRate() {
		return this.readingRate;
	}

	/**
	 * Returns the load that this VM has in flight, without its recent token rate.
	 * @return the load
	 */
	public InFlightLoad own() {
		return this.own;
	}

	/**
	 * Returns the load that this VM has in flight, with the rate of prompt tokens it
	 * recently sent and the longest stream pause it recently saw.
	 * @param nowNanos the monotonic time
	 * @return the load
	 */
	public InFlightLoad own(long nowNanos) {
		return new InFlightLoad(this.own.target(), this.own.requests(), this.own.unreadTokens(), this.own.cacheTokens(),
				Math.round(this.readingRate.tokensPerSecond(nowNanos)), this.speed.longestPauseMillis(nowNanos));
	}

	/**
	 * Returns whether this VM has nothing in flight at the target and its recent rate of
	 * prompt tokens rounds to 0 per second.
	 * @param nowNanos the monotonic time
	 * @return whether this VM's load need not be reported
	 */
	public boolean isIdle(long nowNanos) {
		return this.own.requests() == 0 && Math.round(this.readingRate.tokensPerSecond(nowNanos)) == 0;
	}

	/**
	 * Returns the longest recent pause in a stream of the target that any VM is known to
	 * have seen.
	 * @param nowNanos the monotonic time
	 * @return the pause in milliseconds, 0 if there was none
	 */
	long longestPauseMillis(long nowNanos) {
		return Math.max(this.speed.longestPauseMillis(nowNanos), this.others.longestPauseMillis());
	}

	/**
	 * Returns the rate at which all VMs together recently sent prompt tokens, as far as
	 * known.
	 * @param nowNanos the monotonic time
	 * @param loadAgeNanos the time since the other VMs reported their loads
	 * @return the tokens per second
	 */
	double readTokensPerSecond(long nowNanos, long loadAgeNanos) {
		return this.readingRate.tokensPerSecond(nowNanos) + this.others.decayedBy(loadAgeNanos).promptTokensPerSecond();
	}

	void setOtherLoad(InFlightLoad load) {
		this.others = load;
	}

	void add(InFlightLoad load) {
		this.own = this.own.plus(load);
	}

	void remove(InFlightLoad load) {
		this.own = this.own.minus(load);
	}

	/**
	 * Returns the load that all VMs together have in flight, as far as known. It includes
	 * the recent token rate of the other VMs, but not that of this VM.
	 * @return the load
	 */
	public InFlightLoad totalLoad() {
		return this.own.plus(this.others);
	}

}
