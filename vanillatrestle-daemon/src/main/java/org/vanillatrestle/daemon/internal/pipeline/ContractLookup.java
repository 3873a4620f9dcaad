package org.vanillatrestle.daemon.internal.pipeline;

import java.util.Optional;

import org.vanillatrestle.Contract;
import org.vanillatrestle.CustomerId;

/**
 * The contracts in force on this VM.
 * <p>
 * Used on the VM's event loop.
 */
public interface ContractLookup {

	/**
	 * Tells whether this VM has received the contract book since it started.
	 * @return whether requests may be served
	 */
	boolean isLoaded();

	/**
	 * Returns the index of the last applied entry of the contract book.
	 * @return the index, 0 if none
	 */
	long appliedIndex();

	/**
	 * Finds the caller with a key.
	 * @param keySha256 the SHA-256 of the key in hexadecimal digits
	 * @return the caller and its contract, or empty if no contract lists the key
	 */
	Optional<Principal> findByKey(String keySha256);

	/**
	 * Finds a customer's contract.
	 * @param customer the customer
	 * @return the contract, or empty if there is none in force
	 */
	Optional<Contract> find(CustomerId customer);

}
