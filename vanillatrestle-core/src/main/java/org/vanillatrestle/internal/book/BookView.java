package org.vanillatrestle.internal.book;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.vanillatrestle.Caller;
import org.vanillatrestle.Contract;
import org.vanillatrestle.CustomerId;

/**
 * The contracts in force at one change index.
 * <p>
 * Immutable and thread safe, so that any thread can use one view for the duration of a
 * request. The time of a lookup by key does not depend on the number of contracts.
 */
public final class BookView {

	/**
	 * The view before the first change.
	 */
	public static final BookView EMPTY = new BookView(0, List.of());

	private final long index;

	private final Map<CustomerId, Contract> contracts;

	private final Map<String, CallerMatch> callersByKey;

	BookView(long index, Collection<BookEntry> entries) {
		this.index = index;
		this.contracts = new HashMap<>();
		this.callersByKey = new HashMap<>();
		for (BookEntry entry : entries) {
			entry.contract().ifPresent(this::add);
		}
	}

	private void add(Contract contract) {
		this.contracts.put(contract.customer(), contract);
		for (Caller caller : contract.callers()) {
			this.callersByKey.put(caller.keySha256(), new CallerMatch(contract, caller));
		}
	}

	/**
	 * Returns the log index of the latest change in this view.
	 * @return the index, 0 if there was no change
	 */
	public long index() {
		return this.index;
	}

	/**
	 * Returns the number of contracts in force.
	 * @return the number
	 */
	public int size() {
		return this.contracts.size();
	}

	/**
	 * Returns the contracts in force, in no particular order.
	 * @return the contracts
	 */
	public Collection<Contract> contracts() {
		return List.copyOf(this.contracts.values());
	}

	/**
	 * Finds the contract of a customer.
	 * @param customer the customer
	 * @return the contract in force, or empty if there is none
	 */
	public Optional<Contract> contract(CustomerId customer) {
		return Optional.ofNullable(this.contracts.get(customer));
	}

	/**
	 * Finds the caller that a bearer key belongs to.
	 * @param keySha256 the SHA-256 of the key as 64 lower-case hexadecimal digits
	 * @return the caller with its contract, or empty if no contract in force has the key
	 */
	public Optional<CallerMatch> lookup(String keySha256) {
		CallerMatch match = this.callersByKey.get(keySha256);
		if (match == null || !isSameHash(match.caller().keySha256(), keySha256)) {
			return Optional.empty();
		}
		return Optional.of(match);
	}

	private static boolean isSameHash(String expected, String actual) {
		return MessageDigest.isEqual(expected.getBytes(StandardCharsets.US_ASCII),
				actual.getBytes(StandardCharsets.US_ASCII));
	}

}
