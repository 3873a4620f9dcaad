package org.vanillatrestle.daemon.internal.pipeline;

import java.util.Optional;

import org.vanillatrestle.Contract;
import org.vanillatrestle.CustomerId;

/**
 * Looks up the contracts in force on this VM.
 * <p>
 * Used on the VM's event loop.
 */
public interface ContractLookup {

	/**
	 * Returns whether this VM has received the contract book since it started.
	 * @return whether requests can be served
	 */
	boolean isLoaded();

	/**
	 * Returns the index of the last applied entry of the contract book.
	 * @return the index, or 0 if no entry was applied
	 */
	long appliedIndex();

	/**
	 * Finds the caller that has a given key.
	 * @param keySha256 the SHA-256 hash of the key in hexadecimal digits
	 * @return the caller and its contract, or empty if no contract lists the key
	 */
	Optional<Principal> findByKey(String keySha256);

	/**
	 * Finds the contract of a customer.
	 * @param customer the customer
	 * @return the contract, or empty if the customer has none in force
	 */
	Optional<Contract> find(CustomerId customer);

}
