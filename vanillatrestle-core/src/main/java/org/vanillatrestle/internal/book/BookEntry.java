package org.vanillatrestle.internal.book;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import org.vanillatrestle.Contract;
import org.vanillatrestle.Contracts;
import org.vanillatrestle.CustomerId;

/**
 * The latest accepted change of one customer's contract.
 * <p>
 * Immutable and thread safe.
 *
 * @param index the index of the change in the replicated log, at least 1
 * @param customer the customer
 * @param revision the revision that the change created
 * @param contract the contract, empty if the change removed it
 * @param sizeBytes the size of the contract's canonical JSON in bytes, 0 for a removal
 */
public record BookEntry(long index, CustomerId customer, long revision, Optional<Contract> contract, int sizeBytes) {

	/**
	 * Creates the entry for a contract that came into force.
	 * @param index the index in the replicated log
	 * @param contract the contract
	 * @return the entry
	 */
	public static BookEntry of(long index, Contract contract) {
		int sizeBytes = Contracts.write(contract).getBytes(StandardCharsets.UTF_8).length;
		return new BookEntry(index, contract.customer(), contract.revision(), Optional.of(contract), sizeBytes);
	}

	/**
	 * Creates the entry for the removal of a contract.
	 * @param index the index in the replicated log
	 * @param customer the customer
	 * @param revision the revision of the removal
	 * @return the entry
	 */
	public static BookEntry removal(long index, CustomerId customer, long revision) {
		return new BookEntry(index, customer, revision, Optional.empty(), 0);
	}

}
