package org.vanillatrestle.internal.admission;

import org.vanillatrestle.internal.limits.LimitShare;
import org.vanillatrestle.internal.request.Admission;
import org.vanillatrestle.internal.request.PolicyRequest;
import org.vanillatrestle.internal.request.RefusalReason;

/**
 * Keeps one customer's service within this VM's share of its limits.
 * <p>
 * Requests in flight never exceed the share at the time of their admission. Counts what
 * was asked for, admitted or not, as the demand. Not thread safe: owned by the VM's event
 * loop.
 */
public final class LimitGate {

	private static final double MILLI = 1_000;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final long MAX_RETRY_MILLIS = 60_000;

	private final TokenBucket requests;

	private final TokenBucket tokens;

	private LimitShare share;

	private long inFlight;

	private long inFlightWanted;

	private long requestsWanted;

	private long tokensWanted;

	LimitGate(LimitShare share, long nowNanos) {
		this.share = share;
		this.requests = new TokenBucket(share.milliRequestsPerSecond() / MILLI, 1, nowNanos);
		this.tokens = new TokenBucket(share.tokensPerSecond(), 1, nowNanos);
	}

	/**
	 * Puts another share in force.
	 * @param newShare the share
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void share(LimitShare newShare, long nowNanos) {
		if (newShare.equals(this.share)) {
			return;
		}
		this.share = newShare;
		this.requests.rate(newShare.milliRequestsPerSecond() / MILLI, nowNanos);
		this.tokens.rate(newShare.tokensPerSecond(), nowNanos);
	}

	/**
	 * Takes a request's part of the limits.
	 * @param request the request
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the refusal, or {@code null} if the request is within the limits
	 */
	public Admission.Refused take(PolicyRequest request, long nowNanos) {
		this.requestsWanted++;
		this.tokensWanted += request.countedTokens();
		this.inFlightWanted = Math.max(this.inFlightWanted, this.inFlight + 1);
		if (this.inFlight >= this.share.inFlight()) {
			this.inFlightWanted++;
			return new Admission.Refused(RefusalReason.IN_FLIGHT, (long) MILLI);
		}
		if (!this.requests.has(1, nowNanos)) {
			return refused(RefusalReason.RATE, this.requests.nanosUntil(1, nowNanos));
		}
		if (request.countedTokens() > 0 && !this.tokens.take(request.countedTokens(), nowNanos)) {
			return refused(RefusalReason.TOKENS, this.tokens.nanosUntil(request.countedTokens(), nowNanos));
		}
		this.requests.take(1, nowNanos);
		this.inFlight++;
		return null;
	}

	/**
	 * Ends a request.
	 * @param unusedTokens tokens that were taken but not used
	 */
	public void end(long unusedTokens) {
		this.inFlight--;
		this.tokens.giveBack(Math.max(0, unusedTokens));
	}

	/**
	 * Returns the demand since the last call.
	 * @param seconds the time since the last call in seconds
	 * @return the demand
	 */
	public LimitShare demand(double seconds) {
		double span = Math.max(seconds, 1 / MILLI);
		LimitShare result = new LimitShare((long) (this.requestsWanted / span * MILLI),
				(long) (this.tokensWanted / span), this.inFlightWanted);
		this.requestsWanted = 0;
		this.tokensWanted = 0;
		this.inFlightWanted = this.inFlight;
		return result;
	}

	public long inFlight() {
		return this.inFlight;
	}

	private static Admission.Refused refused(RefusalReason reason, long nanos) {
		return new Admission.Refused(reason, Math.min(MAX_RETRY_MILLIS, nanos / NANOS_PER_MILLI + 1));
	}

}
