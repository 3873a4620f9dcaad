package org.vanillatrestle.daemon.internal.contracts;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.vanillatrestle.Caller;
import org.vanillatrestle.Contract;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.daemon.internal.pipeline.ContractLookup;
import org.vanillatrestle.daemon.internal.pipeline.Principal;

/**
 * Contracts that were read from files at start-up.
 * <p>
 * Used on the VM's event loop.
 */
public final class FolderContracts implements ContractLookup {

	private final Map<CustomerId, Contract> contracts = new HashMap<>();

	private final Map<String, Principal> byKey = new HashMap<>();

	/**
	 * Adds a contract.
	 * @param contract the contract
	 */
	public void add(Contract contract) {
		this.contracts.put(contract.customer(), contract);
		for (Caller caller : contract.callers()) {
			this.byKey.put(caller.keySha256(), new Principal(contract, caller));
		}
	}

	@Override
	public boolean isLoaded() {
		return true;
	}

	@Override
	public long appliedIndex() {
		return 0;
	}

	@Override
	public Optional<Principal> findByKey(String keySha256) {
		return Optional.ofNullable(this.byKey.get(keySha256));
	}

	@Override
	public Optional<Contract> find(CustomerId customer) {
		return Optional.ofNullable(this.contracts.get(customer));
	}

}
