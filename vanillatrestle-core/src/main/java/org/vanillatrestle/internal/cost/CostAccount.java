package org.vanillatrestle.internal.cost;

import java.util.HashMap;
import java.util.Map;

import org.vanillatrestle.CustomerId;
import org.vanillatrestle.internal.target.TargetCapacity;

/**
 * Accumulates, for each customer, the cost of targets and of transfers between data
 * centres.
 * <p>
 * The totals never decrease. Not thread safe: confined to the VM's event loop.
 */
public final class CostAccount {

	private static final long TOKENS_PER_PRICE_UNIT = 1_000;

	private static final long BYTES_PER_PRICE_UNIT = 1_000_000;

	private final Map<CustomerId, Cost> costs = new HashMap<>();

	/**
	 * Returns the price of a request at a target.
	 * @param capacity the capacity and prices that the target announced
	 * @param tokens the number of tokens in the prompt and the response
	 * @return the price in millionths of the currency
	 */
	public static long targetMicros(TargetCapacity capacity, long tokens) {
		return capacity.priceMicrosPerRequest()
				+ capacity.priceMicrosPerThousandTokens() * tokens / TOKENS_PER_PRICE_UNIT;
	}

	/**
	 * Returns the price of a transfer between data centres.
	 * @param priceMicrosPerMegabyte the price of the link per 1,000,000 bytes, in
	 * millionths of the currency
	 * @param bytes the size of the request and the response in bytes
	 * @return the price in millionths of the currency
	 */
	public static long transferMicros(long priceMicrosPerMegabyte, long bytes) {
		return priceMicrosPerMegabyte * bytes / BYTES_PER_PRICE_UNIT;
	}

	public void addTarget(CustomerId customer, long micros) {
		this.costs.merge(customer, new Cost(1, micros, 0), Cost::plus);
	}

	public void addTransfer(CustomerId customer, long micros) {
		this.costs.merge(customer, new Cost(0, 0, micros), Cost::plus);
	}

	/**
	 * Returns the total cost by customer since the VM started.
	 * @return an immutable copy
	 */
	public Map<CustomerId, Cost> costs() {
		return Map.copyOf(this.costs);
	}

	/**
	 * The total cost of a customer's requests.
	 *
	 * @param requests the number of attempts that ended at a target of this data centre
	 * @param targetMicros the cost of targets, in millionths of the currency
	 * @param transferMicros the cost of transfers, in millionths of the currency
	 */
	public record Cost(long requests, long targetMicros, long transferMicros) {

		Cost plus(Cost other) {
			return new Cost(this.requests + other.requests, this.targetMicros + other.targetMicros,
					this.transferMicros + other.transferMicros);
		}

	}

}
