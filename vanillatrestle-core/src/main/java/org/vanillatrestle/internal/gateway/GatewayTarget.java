package org.vanillatrestle.internal.gateway;

import java.util.concurrent.TimeUnit;

import org.vanillatrestle.TargetId;
import org.vanillatrestle.internal.fleet.FlightLoad;
import org.vanillatrestle.internal.fleet.TargetReport;

/**
 * One target as this VM sees it: its report, its load and its health.
 * <p>
 * Load is what this VM has in flight plus what the other VMs last told. Not thread safe.
 */
public final class GatewayTarget {

	private static final long NEW_NANOS = TimeUnit.SECONDS.toNanos(4);

	private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private final PrefixCache prefixes = new PrefixCache();

	private final ColdGate coldGate = new ColdGate();

	private TargetHealth health = new TargetHealth();

	private TargetPace pace = new TargetPace();

	private final ReadingRate reading = new ReadingRate();

	private TargetReport report;

	private long coldUntilNanos;

	private long chilledUntilNanos;

	private long pausedUntilNanos;

	private long startedNanos;

	private FlightLoad own;

	private FlightLoad others;

	GatewayTarget(TargetReport report, long nowNanos) {
		this.chilledUntilNanos = nowNanos;
		this.pausedUntilNanos = nowNanos;
		this.own = new FlightLoad(report.target(), 0, 0, 0);
		this.others = this.own;
		update(report, nowNanos);
	}

	/**
	 * Takes a newer report.
	 * @param newer the report
	 * @param nowNanos the monotonic time
	 */
	void update(TargetReport newer, long nowNanos) {
		boolean restarted = this.report != null && this.report.bornMillis() != newer.bornMillis();
		if (restarted || this.report == null) {
			this.startedNanos = nowNanos;
		}
		if (restarted) {
			this.prefixes.clear();
			this.health = new TargetHealth();
			this.pace = new TargetPace();
			this.pausedUntilNanos = nowNanos;
		}
		this.report = newer;
		this.coldUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(newer.coldLeftMillis());
	}

	/**
	 * Treats the target as cold from now on, whatever its reports say.
	 * @param millis for how long at least
	 * @param nowNanos the monotonic time
	 */
	void chill(long millis, long nowNanos) {
		this.chilledUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
	}

	/**
	 * Sends nothing for a while, as the target asked for it. A pause is never shortened
	 * by a later answer.
	 * @param millis for how long
	 * @param nowNanos the monotonic time
	 */
	void pause(long millis, long nowNanos) {
		long untilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
		if (untilNanos - this.pausedUntilNanos > 0) {
			this.pausedUntilNanos = untilNanos;
		}
	}

	/**
	 * Returns for how much longer the target wants nothing from this VM.
	 * @param nowNanos the monotonic time
	 * @return the time, 0 if it takes requests
	 */
	long pausedMillis(long nowNanos) {
		long leftNanos = Math.max(0, this.pausedUntilNanos - nowNanos);
		return TimeUnit.NANOSECONDS.toMillis(leftNanos + NANOS_PER_MILLI - 1);
	}

	public TargetReport report() {
		return this.report;
	}

	public TargetId id() {
		return this.report.target();
	}

	// such a target has hardly read any prompt
	boolean isNew(long nowNanos) {
		return nowNanos - this.startedNanos < NEW_NANOS;
	}

	boolean isCold(long nowNanos) {
		return Math.max(this.coldUntilNanos, this.chilledUntilNanos) - nowNanos > 0;
	}

	TargetHealth health() {
		return this.health;
	}

	TargetPace pace() {
		return this.pace;
	}

	ColdGate coldGate() {
		return this.coldGate;
	}

	PrefixCache prefixes() {
		return this.prefixes;
	}

	ReadingRate reading() {
		return this.reading;
	}

	/**
	 * What this VM has in flight, without the tokens sent of late.
	 * @return the load
	 */
	public FlightLoad own() {
		return this.own;
	}

	/**
	 * What this VM has in flight, and has sent and seen of late.
	 * @param nowNanos the monotonic time
	 * @return the load
	 */
	public FlightLoad own(long nowNanos) {
		return new FlightLoad(this.own.target(), this.own.requests(), this.own.unreadTokens(), this.own.heldTokens(),
				Math.round(this.reading.tokensPerSecond(nowNanos)), this.pace.longestPauseMillis(nowNanos));
	}

	/**
	 * Tells whether this VM has nothing in flight, and sent next to nothing to be read of
	 * late.
	 * @param nowNanos the monotonic time
	 * @return whether its own load is not worth telling
	 */
	public boolean isIdle(long nowNanos) {
		return this.own.requests() == 0 && Math.round(this.reading.tokensPerSecond(nowNanos)) == 0;
	}

	/**
	 * The longest pause of a stream of late that any VM saw, as far as known.
	 * @param nowNanos the monotonic time
	 * @return the pause, 0 if there was none
	 */
	long longestPauseMillis(long nowNanos) {
		return Math.max(this.pace.longestPauseMillis(nowNanos), this.others.longestPauseMillis());
	}

	/**
	 * The prompt tokens that all VMs together sent of late, as far as known.
	 * @param nowNanos the monotonic time
	 * @param toldNanos the time since the others told what they have in flight
	 * @return the tokens by the second
	 */
	double readTokensPerSecond(long nowNanos, long toldNanos) {
		return this.reading.tokensPerSecond(nowNanos) + this.others.fadedBy(toldNanos).readTokensPerSecond();
	}

	void setOthers(FlightLoad load) {
		this.others = load;
	}

	void add(FlightLoad load) {
		this.own = this.own.plus(load);
	}

	void remove(FlightLoad load) {
		this.own = this.own.minus(load);
	}

	/**
	 * What all VMs together have in flight, as far as known, without the tokens sent of
	 * late.
	 * @return the load
	 */
	public FlightLoad total() {
		return this.own.plus(this.others);
	}

}
