package org.vanillatrestle.daemon.internal.node;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.vanillatrestle.Contract;
import org.vanillatrestle.ContractService;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.ServiceKind;
import org.vanillatrestle.daemon.internal.contracts.ContractListener;
import org.vanillatrestle.internal.membership.CapacityRow;
import org.vanillatrestle.internal.membership.DataCentreSummary;
import org.vanillatrestle.internal.request.PoolKey;
import org.vanillatrestle.internal.request.PoolSummary;

/**
 * Converts capacity summaries of pools between the form that the policy uses and the
 * compact rows that data centres send to each other.
 * <p>
 * Used on the VM's event loop.
 */
final class CapacityRowConverter implements ContractListener {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Map<CustomerId, List<PoolKey>> poolsByCustomer = new HashMap<>();

	private final Map<Integer, PoolKey> pools = new HashMap<>();

	@Override
	public void changed(Contract contract) {
		List<PoolKey> keys = contract.services()
			.stream()
			.flatMap((service) -> poolKeys(contract, service).stream())
			.toList();
		this.poolsByCustomer.put(contract.customer(), keys);
		rebuild();
	}

	@Override
	public void removed(CustomerId customer) {
		this.poolsByCustomer.remove(customer);
		rebuild();
	}

	private static List<PoolKey> poolKeys(Contract contract, ContractService service) {
		if (service.kind() == ServiceKind.PLAIN) {
			return List.of(new PoolKey(null, contract.customer(), service.name()));
		}
		return service.models().stream().map((model) -> new PoolKey(model, null, null)).toList();
	}

	private void rebuild() {
		this.pools.clear();
		this.poolsByCustomer.values().forEach((keys) -> keys.forEach((key) -> this.pools.put(hash(key), key)));
	}

	private static int hash(PoolKey key) {
		if (key.model() != null) {
			return CapacityRow.key("model/" + key.model());
		}
		return CapacityRow.key("plain/" + key.customer() + "/" + key.service());
	}

	CapacityRow toRow(PoolSummary summary) {
		long priceMicros = (summary.pool().model() != null) ? summary.priceMicrosPerThousandTokens()
				: summary.priceMicrosPerRequest();
		return new CapacityRow(hash(summary.pool()), summary.freeSlots(),
				clampToInt(summary.queueDelayNanos() / NANOS_PER_MILLI), clampToInt(priceMicros));
	}

	private static int clampToInt(long value) {
		return (int) Math.max(0, Math.min(value, Integer.MAX_VALUE));
	}

	/**
	 * Converts the rows of a data centre. Skips rows of pools that no contract names.
	 * @param summary the summary received from the data centre
	 * @return the pool summaries for the policy
	 */
	List<PoolSummary> toSummaries(DataCentreSummary summary) {
		return summary.rows()
			.stream()
			.filter((row) -> this.pools.containsKey(row.key()))
			.map((row) -> toSummary(summary, row, this.pools.get(row.key())))
			.toList();
	}

	private static PoolSummary toSummary(DataCentreSummary summary, CapacityRow row, PoolKey pool) {
		boolean isModel = pool.model() != null;
		return new PoolSummary(summary.region(), summary.dataCentre(), pool, row.freeCapacity(),
				Math.max(1, row.freeCapacity()), row.queueDelayMillis() * NANOS_PER_MILLI,
				isModel ? row.priceMicros() : 0, isModel ? 0 : row.priceMicros());
	}

}
