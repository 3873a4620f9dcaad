package org.vanillatrestle.internal.admission;

import java.util.HashMap;
import java.util.Map;

import org.vanillatrestle.CustomerId;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.internal.limits.LimitShare;
import org.vanillatrestle.internal.limits.LimitShares;
import org.vanillatrestle.internal.limits.LimitUsage;
import org.vanillatrestle.internal.request.Admission;
import org.vanillatrestle.internal.request.PolicyRequest;

/**
 * The limiters of all customers' services. Each request updates its limiter to this VM's
 * current share of the limits.
 * <p>
 * Not thread safe: confined to the VM's event loop.
 */
public final class ServiceLimiters implements LimitUsage {

	private final LimitShares shares;

	private final Map<Key, ServiceLimiter> limiters = new HashMap<>();

	private double demandPeriodSeconds = 1;

	public ServiceLimiters(LimitShares shares) {
		this.shares = shares;
	}

	/**
	 * Counts a request against its service's limits, or refuses it.
	 * @param request the request
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the refusal, or {@code null} if the request is within the limits
	 */
	public Admission.Refused acquire(PolicyRequest request, long nowNanos) {
		LimitShare share = this.shares.share(request.customer(), request.service().name(), nowNanos);
		ServiceLimiter limiter = this.limiters.computeIfAbsent(new Key(request.customer(), request.service().name()),
				(key) -> new ServiceLimiter(share, nowNanos));
		limiter.updateShare(share, nowNanos);
		return limiter.acquire(request, nowNanos);
	}

	/**
	 * Releases what {@link #acquire} counted for a request that was within the limits.
	 * @param request the request, which has ended
	 * @param unusedTokens the number of tokens that were acquired but not used
	 */
	public void release(PolicyRequest request, long unusedTokens) {
		ServiceLimiter limiter = this.limiters.get(new Key(request.customer(), request.service().name()));
		if (limiter != null) {
			limiter.release(unusedTokens);
		}
	}

	/**
	 * Sets the period over which {@link #demand} computes rates.
	 * @param seconds the time since the demand was last read, in seconds
	 */
	public void demandPeriodSeconds(double seconds) {
		this.demandPeriodSeconds = seconds;
	}

	@Override
	public LimitShare demand(CustomerId customer, ServiceName service) {
		ServiceLimiter limiter = this.limiters.get(new Key(customer, service));
		return (limiter != null) ? limiter.demand(this.demandPeriodSeconds) : LimitShare.NONE;
	}

	@Override
	public long inFlight(CustomerId customer, ServiceName service) {
		ServiceLimiter limiter = this.limiters.get(new Key(customer, service));
		return (limiter != null) ? limiter.inFlight() : 0;
	}

	private record Key(CustomerId customer, ServiceName service) {

	}

}
