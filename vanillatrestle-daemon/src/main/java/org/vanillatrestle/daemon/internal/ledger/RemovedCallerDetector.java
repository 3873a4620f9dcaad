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
 * Detects callers that a contract no longer lists, so that the ledger deletes their
 * stored answers. This also covers a home region that is no longer allowed, because a
 * revision that forbids a caller's home must remove the caller.
 * <p>
 * Used on the VM's event loop.
 */
public final class RemovedCallerDetector implements ContractListener {

	private final LedgerPart ledger;

	private final Map<CustomerId, Set<CallerName>> callersByCustomer = new HashMap<>();

	public RemovedCallerDetector(LedgerPart ledger) {
		this.ledger = ledger;
	}

	@Override
	public void changed(Contract contract) {
		Set<CallerName> callers = new HashSet<>();
		contract.callers().stream().map(Caller::name).forEach(callers::add);
		updateCallers(contract.customer(), callers);
	}

	@Override
	public void removed(CustomerId customer) {
		updateCallers(customer, Set.of());
	}

	private void updateCallers(CustomerId customer, Set<CallerName> callers) {
		Set<CallerName> previousCallers = this.callersByCustomer.put(customer, callers);
		if (previousCallers == null) {
			return;
		}
		for (CallerName caller : previousCallers) {
			if (!callers.contains(caller)) {
				this.ledger.callerRemoved(customer, caller);
			}
		}
	}

}
