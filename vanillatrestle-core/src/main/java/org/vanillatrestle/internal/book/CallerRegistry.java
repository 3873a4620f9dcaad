package org.vanillatrestle.internal.book;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.vanillatrestle.Caller;
import org.vanillatrestle.CallerName;
import org.vanillatrestle.Contract;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.internal.book.BookOutcome.Invalid;

/**
 * Every caller and key that ever was in force, so that a caller's once keys always lead
 * to the same ledger and the same scope.
 * <p>
 * Not thread safe. A caller's home never changes, and a key never passes from one caller
 * to another, also not after a removal.
 */
final class CallerRegistry {

	private final int maxCallersEver;

	private final Map<CustomerId, Map<CallerName, CallerRecord>> callers = new HashMap<>();

	private final Map<String, Owner> owners = new HashMap<>();

	CallerRegistry(int maxCallersEver) {
		this.maxCallersEver = maxCallersEver;
	}

	Optional<Invalid> check(Contract contract) {
		int i = 0;
		for (Caller caller : contract.callers()) {
			Optional<Invalid> fault = check(contract.customer(), caller, "$.callers[" + i + "]");
			if (fault.isPresent()) {
				return fault;
			}
			i++;
		}
		return checkCount(contract);
	}

	private Optional<Invalid> check(CustomerId customer, Caller caller, String path) {
		CallerRecord known = known(customer).get(caller.name());
		if (known != null && !known.home().equals(caller.home())) {
			return Optional.of(new Invalid(path + ".home", "the home of '" + caller.name() + "' is '" + known.home()
					+ "' for ever; add a caller of another name and key for another home"));
		}
		Owner owner = this.owners.get(caller.keySha256());
		if (owner != null && !owner.equals(new Owner(customer, caller.name()))) {
			return Optional.of(new Invalid(path + ".keySha256",
					"this key is or was the key of another caller; issue a new key for '" + caller.name() + "'"));
		}
		return Optional.empty();
	}

	private Optional<Invalid> checkCount(Contract contract) {
		Map<CallerName, CallerRecord> known = known(contract.customer());
		Set<CallerName> names = new HashSet<>(known.keySet());
		Set<String> keys = new HashSet<>();
		known.values().forEach((record) -> keys.addAll(record.keys()));
		contract.callers().forEach((caller) -> {
			names.add(caller.name());
			keys.add(caller.keySha256());
		});
		if (names.size() <= this.maxCallersEver && keys.size() <= this.maxCallersEver) {
			return Optional.empty();
		}
		return Optional.of(new Invalid("$.callers",
				"a customer may have had " + this.maxCallersEver + " callers and keys over time; reuse earlier names"));
	}

	void add(Contract contract) {
		for (Caller caller : contract.callers()) {
			CallerRecord previous = known(contract.customer()).get(caller.name());
			Set<String> keys = new HashSet<>((previous != null) ? previous.keys() : Set.of());
			if (keys.add(caller.keySha256())) {
				put(contract.customer(), new CallerRecord(caller.name(), caller.home(), keys));
			}
		}
	}

	private void put(CustomerId customer, CallerRecord record) {
		this.callers.computeIfAbsent(customer, (id) -> new LinkedHashMap<>()).put(record.name(), record);
		record.keys().forEach((key) -> this.owners.put(key, new Owner(customer, record.name())));
	}

	void restore(CustomerId customer, Collection<CallerRecord> records) {
		records.forEach((record) -> put(customer, record));
	}

	void clear() {
		this.callers.clear();
		this.owners.clear();
	}

	List<CallerRecord> records(CustomerId customer) {
		return new ArrayList<>(known(customer).values());
	}

	private Map<CallerName, CallerRecord> known(CustomerId customer) {
		return this.callers.getOrDefault(customer, Map.of());
	}

	private record Owner(CustomerId customer, CallerName caller) {

	}

}
