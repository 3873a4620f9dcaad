package org.vanillatrestle.daemon.internal.contracts;

import org.vanillatrestle.Contract;
import org.vanillatrestle.CustomerId;

/**
 * Notified when contracts come into force on this VM or are removed.
 * <p>
 * Called on the VM's event loop.
 */
public interface ContractListener {

	/**
	 * Called after a contract has been added or changed.
	 * @param contract the contract now in force
	 */
	void changed(Contract contract);

	/**
	 * Called after the contract of a customer has been removed.
	 * @param customer the customer
	 */
	void removed(CustomerId customer);

}
