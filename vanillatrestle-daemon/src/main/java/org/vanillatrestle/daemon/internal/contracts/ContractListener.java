package org.vanillatrestle.daemon.internal.contracts;

import org.vanillatrestle.Contract;
import org.vanillatrestle.CustomerId;

/**
 * Is told of contracts that come into force on this VM.
 * <p>
 * Called on the VM's event loop.
 */
public interface ContractListener {

	/**
	 * A contract is new or has changed.
	 * @param contract the contract now in force
	 */
	void changed(Contract contract);

	/**
	 * A customer has no contract any more.
	 * @param customer the customer
	 */
	void removed(CustomerId customer);

}
