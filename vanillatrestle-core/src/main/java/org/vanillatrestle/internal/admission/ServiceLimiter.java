package org.vanillatrestle.internal.admission;

import org.vanillatrestle.internal.limits.LimitShare;
import org.vanillatrestle.internal.request.Admission;
import org.vanillatrestle.internal.request.PolicyRequest;
import org.vanillatrestle.internal.request.RefusalReason;

/**
 * Enforces this VM's share of the limits of one service of one customer.
 * <p>
 * When a request is admitted, the number of requests in flight, including it, does not
 * exceed the current share. The demand counts all requests, whether admitted or refused.
 * Not thread safe: confined to the VM's event loop.
 */
public final class ServiceLimiter {

	private static final double MILLIS_PER_UNIT = 1_000;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final long MAX_RETRY_AFTER_MILLIS = 60_000;

	private final TokenBucket requestBucket;

	private final TokenBucket tokenBucket;

	private LimitShare currentShare;

	private long inFlight;

	private long inFlightDemand;

	private long requestDemand;

	private long tokenDemand;

	ServiceLimiter(LimitShare share, long nowNanos) {
		this.currentShare = share;
		this.requestBucket = new TokenBucket(share.milliRequestsPerSecond() / MILLIS_PER_UNIT, 1, nowNanos);
		this.tokenBucket = new TokenBucket(share.tokensPerSecond(), 1, nowNanos);
	}

	/**
	 * Applies this VM's current share of the limits.
	 * @param newShare the current share
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void updateShare(LimitShare newShare, long nowNanos) {
		if (newShare.equals(this.currentShare)) {
			return;
		}
		this.currentShare = newShare;
		this.requestBucket.updateRate(newShare.milliRequestsPerSecond() / MILLIS_PER_UNIT, nowNanos);
		this.tokenBucket.updateRate(newShare.tokensPerSecond(), nowNanos);
	}

	/**
	 * Counts a request against the limits, or refuses it.
	 * @param request the request
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the refusal, or {@code null} if the request is within the limits
	 */
	public Admission.Refused acquire(PolicyRequest request, long nowNanos) {
		this.requestDemand++;
		this.tokenDemand += request.countedTokens();
		this.inFlightDemand = Math.max(this.inFlightDemand, this.inFlight + 1);
		if (this.inFlight >= this.currentShare.inFlight()) {
			this.inFlightDemand++;
			return new Admission.Refused(RefusalReason.IN_FLIGHT, (long) MILLIS_PER_UNIT);
		}
		if (!this.requestBucket.canConsume(1, nowNanos)) {
			return refused(RefusalReason.RATE, this.requestBucket.nanosUntilAvailable(1, nowNanos));
		}
		if (request.countedTokens() > 0 && !this.tokenBucket.tryConsume(request.countedTokens(), nowNanos)) {
			return refused(RefusalReason.TOKENS,
					this.tokenBucket.nanosUntilAvailable(request.countedTokens(), nowNanos));
		}
		this.requestBucket.tryConsume(1, nowNanos);
		this.inFlight++;
		return null;
	}

	/**
	 * Releases the in-flight slot of a request that has ended and refunds its unused
	 * tokens.
	 * @param unusedTokens the number of tokens that were acquired but not used
	 */
	public void release(long unusedTokens) {
		this.inFlight--;
		this.tokenBucket.refund(Math.max(0, unusedTokens));
	}

	/**
	 * Returns the demand since the last call and resets it.
	 * @param seconds the time since the last call, in seconds
	 * @return the demand: request and token rates, and the highest number of requests in
	 * flight that was asked for
	 */
	public LimitShare demand(double seconds) {
		double periodSeconds = Math.max(seconds, 1 / MILLIS_PER_UNIT);
		LimitShare result = new LimitShare((long) (this.requestDemand / periodSeconds * MILLIS_PER_UNIT),
				(long) (this.tokenDemand / periodSeconds), this.inFlightDemand);
		this.requestDemand = 0;
		this.tokenDemand = 0;
		this.inFlightDemand = this.inFlight;
		return result;
	}

	public long inFlight() {
		return this.inFlight;
	}

	private static Admission.Refused refused(RefusalReason reason, long nanos) {
		return new Admission.Refused(reason, Math.min(MAX_RETRY_AFTER_MILLIS, nanos / NANOS_PER_MILLI + 1));
	}

}
