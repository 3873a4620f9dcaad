package org.vanillatrestle.internal.cost;

import java.util.HashMap;
import java.util.Map;

import org.vanillatrestle.CustomerId;
import org.vanillatrestle.internal.target.TargetCapacity;

/**
 * Adds up the price of targets and transfers by customer.
 * <p>
 * Sums only grow. Not thread safe: owned by the VM's event loop.
 */
public final class CostAccount {

	private static final long TOKENS_PER_PRICE = 1_000;

	private static final long BYTES_PER_PRICE = 1_000_000;

	private final Map<CustomerId, Cost> costs = new HashMap<>();

	/**
	 * Returns the price of a request at a target.
	 * @param capacity what the target announced
	 * @param tokens tokens of prompt and answer
	 * @return millionths of the currency
	 */
	public static long targetMicros(TargetCapacity capacity, long tokens) {
		return capacity.priceMicrosPerRequest() + capacity.priceMicrosPerThousandTokens() * tokens / TOKENS_PER_PRICE;
	}

	/**
	 * Returns the price of a transfer.
	 * @param priceMicrosPerMegabyte the link's price
	 * @param bytes bytes of request and answer
	 * @return millionths of the currency
	 */
	public static long transferMicros(long priceMicrosPerMegabyte, long bytes) {
		return priceMicrosPerMegabyte * bytes / BYTES_PER_PRICE;
	}

	public void addTarget(CustomerId customer, long micros) {
		this.costs.merge(customer, new Cost(1, micros, 0), Cost::plus);
	}

	public void addTransfer(CustomerId customer, long micros) {
		this.costs.merge(customer, new Cost(0, 0, micros), Cost::plus);
	}

	/**
	 * Returns the sums by customer since the VM started.
	 * @return a copy
	 */
	public Map<CustomerId, Cost> costs() {
		return Map.copyOf(this.costs);
	}

	/**
	 * What a customer's requests have cost.
	 *
	 * @param requests requests that were processed
	 * @param targetMicros price of the targets in millionths of the currency
	 * @param transferMicros price of transfers in millionths of the currency
	 */
	public record Cost(long requests, long targetMicros, long transferMicros) {

		Cost plus(Cost other) {
			return new Cost(this.requests + other.requests, this.targetMicros + other.targetMicros,
					this.transferMicros + other.transferMicros);
		}

	}

}
