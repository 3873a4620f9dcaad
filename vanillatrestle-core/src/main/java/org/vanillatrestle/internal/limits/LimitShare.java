package org.vanillatrestle.internal.limits;

import org.vanillatrestle.ContractService;

/**
 * A part of a service's global limits.
 * <p>
 * Immutable and thread safe. Amounts are never negative.
 *
 * @param milliRequestsPerSecond thousandths of a request a second
 * @param tokensPerSecond tokens a second
 * @param inFlight requests in flight
 */
public record LimitShare(long milliRequestsPerSecond, long tokensPerSecond, long inFlight) {

	/**
	 * Nothing.
	 */
	public static final LimitShare NONE = new LimitShare(0, 0, 0);

	private static final long MILLI = 1_000;

	public LimitShare {
		if (milliRequestsPerSecond < 0 || tokensPerSecond < 0 || inFlight < 0) {
			throw new IllegalArgumentException("A share of a limit is not negative: " + milliRequestsPerSecond + ", "
					+ tokensPerSecond + ", " + inFlight);
		}
	}

	/**
	 * Returns the whole of a service's limits.
	 * @param service the service
	 * @return its limits
	 */
	public static LimitShare of(ContractService service) {
		return new LimitShare(service.maxRequestsPerSecond() * MILLI, service.maxTokensPerSecond(),
				service.maxInFlight());
	}

	/**
	 * Returns one of equal parts; the parts together are exactly the whole.
	 * @param parts the number of parts
	 * @param index which part, from 0
	 * @return the part
	 */
	public LimitShare part(int parts, int index) {
		return new LimitShare(part(this.milliRequestsPerSecond, parts, index), part(this.tokensPerSecond, parts, index),
				part(this.inFlight, parts, index));
	}

	public LimitShare plus(LimitShare other) {
		return new LimitShare(this.milliRequestsPerSecond + other.milliRequestsPerSecond,
				this.tokensPerSecond + other.tokensPerSecond, this.inFlight + other.inFlight);
	}

	/**
	 * Subtracts another share; what would be negative is 0.
	 * @param other the other share
	 * @return the difference
	 */
	public LimitShare minus(LimitShare other) {
		return new LimitShare(Math.max(0, this.milliRequestsPerSecond - other.milliRequestsPerSecond),
				Math.max(0, this.tokensPerSecond - other.tokensPerSecond), Math.max(0, this.inFlight - other.inFlight));
	}

	public LimitShare min(LimitShare other) {
		return new LimitShare(Math.min(this.milliRequestsPerSecond, other.milliRequestsPerSecond),
				Math.min(this.tokensPerSecond, other.tokensPerSecond), Math.min(this.inFlight, other.inFlight));
	}

	public LimitShare max(LimitShare other) {
		return new LimitShare(Math.max(this.milliRequestsPerSecond, other.milliRequestsPerSecond),
				Math.max(this.tokensPerSecond, other.tokensPerSecond), Math.max(this.inFlight, other.inFlight));
	}

	/**
	 * Returns a share of this one, rounded down.
	 * @param percent the percentage
	 * @return the share
	 */
	public LimitShare percent(int percent) {
		return new LimitShare(this.milliRequestsPerSecond * percent / 100, this.tokensPerSecond * percent / 100,
				this.inFlight * percent / 100);
	}

	public boolean isNone() {
		return equals(NONE);
	}

	private static long part(long whole, int parts, int index) {
		return whole / parts + ((index < whole % parts) ? 1 : 0);
	}

}
