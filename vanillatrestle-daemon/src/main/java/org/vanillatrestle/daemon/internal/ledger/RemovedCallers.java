package org.vanillatrestle.daemon.internal.ledger;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.vanillatrestle.Caller;
import org.vanillatrestle.CallerName;
import org.vanillatrestle.Contract;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.daemon.internal.contracts.ContractListener;

/**
 * Finds callers that contracts no longer list, so that the ledger drops their answers: a
 * revision that forbids a caller's home must remove the caller.
 * <p>
 * Used on the VM's event loop.
 */
public final class RemovedCallers implements ContractListener {

	private final LedgerPart ledger;

	private final Map<CustomerId, Set<CallerName>> known = new HashMap<>();

	public RemovedCallers(LedgerPart ledger) {
		this.ledger = ledger;
	}

	@Override
	public void changed(Contract contract) {
		Set<CallerName> callers = new HashSet<>();
		contract.callers().stream().map(Caller::name).forEach(callers::add);
		replace(contract.customer(), callers);
	}

	@Override
	public void removed(CustomerId customer) {
		replace(customer, Set.of());
	}

	private void replace(CustomerId customer, Set<CallerName> callers) {
		Set<CallerName> before = this.known.put(customer, callers);
		if (before == null) {
			return;
		}
		for (CallerName caller : before) {
			if (!callers.contains(caller)) {
				this.ledger.callerRemoved(customer, caller);
			}
		}
	}

}
