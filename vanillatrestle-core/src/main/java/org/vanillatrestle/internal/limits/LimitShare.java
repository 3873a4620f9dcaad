package org.vanillatrestle.internal.limits;

import org.vanillatrestle.ContractService;

/**
 * A part of a service's global limits. No amount is negative.
 * <p>
 * Immutable and thread safe.
 *
 * @param milliRequestsPerSecond the request rate in thousandths of a request per second
 * @param tokensPerSecond the token rate in tokens per second
 * @param inFlight the number of requests in flight
 */
public record LimitShare(long milliRequestsPerSecond, long tokensPerSecond, long inFlight) {

	/**
	 * The empty share, with all amounts 0.
	 */
	public static final LimitShare NONE = new LimitShare(0, 0, 0);

	private static final long MILLI_REQUESTS_PER_REQUEST = 1_000;

	public LimitShare {
		if (milliRequestsPerSecond < 0 || tokensPerSecond < 0 || inFlight < 0) {
			throw new IllegalArgumentException(
					"A limit share must not be negative (thousandths of a request/s, tokens/s, requests in flight): "
							+ milliRequestsPerSecond + ", " + tokensPerSecond + ", " + inFlight);
		}
	}

	/**
	 * Returns the share that consists of all of a service's limits.
	 * @param service the service
	 * @return the limits of the service
	 */
	public static LimitShare of(ContractService service) {
		return new LimitShare(service.maxRequestsPerSecond() * MILLI_REQUESTS_PER_REQUEST, service.maxTokensPerSecond(),
				service.maxInFlight());
	}

	/**
	 * Divides this share into equal parts and returns one of them. The sum of all parts
	 * is exactly this share, so parts may differ by 1 in each amount.
	 * @param parts the number of parts
	 * @param index the index of the part, from 0
	 * @return the part
	 */
	public LimitShare equalPart(int parts, int index) {
		return new LimitShare(equalPart(this.milliRequestsPerSecond, parts, index),
				equalPart(this.tokensPerSecond, parts, index), equalPart(this.inFlight, parts, index));
	}

	public LimitShare plus(LimitShare other) {
		return new LimitShare(this.milliRequestsPerSecond + other.milliRequestsPerSecond,
				this.tokensPerSecond + other.tokensPerSecond, this.inFlight + other.inFlight);
	}

	/**
	 * Subtracts another share. An amount that would be negative becomes 0.
	 * @param other the share to subtract
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
	 * Returns a percentage of this share, with each amount rounded down.
	 * @param percent the percentage, which may exceed 100
	 * @return the resulting share
	 */
	public LimitShare percent(int percent) {
		return new LimitShare(this.milliRequestsPerSecond * percent / 100, this.tokensPerSecond * percent / 100,
				this.inFlight * percent / 100);
	}

	public boolean isNone() {
		return equals(NONE);
	}

	private static long equalPart(long whole, int parts, int index) {
		return whole / parts + ((index < whole % parts) ? 1 : 0);
	}

}
