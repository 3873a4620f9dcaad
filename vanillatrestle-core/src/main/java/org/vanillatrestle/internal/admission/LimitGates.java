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
 * The limit gates of all services, each kept at this VM's present share.
 * <p>
 * Not thread safe: owned by the VM's event loop.
 */
public final class LimitGates implements LimitUsage {

	private final LimitShares shares;

	private final Map<Key, LimitGate> gates = new HashMap<>();

	private double demandSeconds = 1;

	public LimitGates(LimitShares shares) {
		this.shares = shares;
	}

	/**
	 * Takes a request's part of its service's limits.
	 * @param request the request
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the refusal, or {@code null} if the request is within the limits
	 */
	public Admission.Refused take(PolicyRequest request, long nowNanos) {
		LimitShare share = this.shares.share(request.customer(), request.service().name(), nowNanos);
		LimitGate gate = this.gates.computeIfAbsent(new Key(request.customer(), request.service().name()),
				(key) -> new LimitGate(share, nowNanos));
		gate.share(share, nowNanos);
		return gate.take(request, nowNanos);
	}

	/**
	 * Ends a request that was within the limits.
	 * @param request the request
	 * @param unusedTokens tokens that were taken but not used
	 */
	public void end(PolicyRequest request, long unusedTokens) {
		LimitGate gate = this.gates.get(new Key(request.customer(), request.service().name()));
		if (gate != null) {
			gate.end(unusedTokens);
		}
	}

	/**
	 * Sets the time since the demand was last asked for.
	 * @param seconds the time in seconds
	 */
	public void demandSeconds(double seconds) {
		this.demandSeconds = seconds;
	}

	@Override
	public LimitShare demand(CustomerId customer, ServiceName service) {
		LimitGate gate = this.gates.get(new Key(customer, service));
		return (gate != null) ? gate.demand(this.demandSeconds) : LimitShare.NONE;
	}

	@Override
	public long inFlight(CustomerId customer, ServiceName service) {
		LimitGate gate = this.gates.get(new Key(customer, service));
		return (gate != null) ? gate.inFlight() : 0;
	}

	private record Key(CustomerId customer, ServiceName service) {

	}

}
