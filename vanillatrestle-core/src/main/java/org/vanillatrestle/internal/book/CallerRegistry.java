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
 * Registers every caller and bearer key that is or was in force. This ensures that a
 * caller's idempotency keys always belong to the same once ledger and the same scope.
 * <p>
 * Not thread safe. A caller's home region never changes, and a bearer key is never
 * reassigned to another caller, even after a removal.
 */
final class CallerRegistry {

	private final int maxCallersOverTime;

	private final Map<CustomerId, Map<CallerName, CallerRecord>> callersByCustomer = new HashMap<>();

	private final Map<String, Owner> ownersByKey = new HashMap<>();

	CallerRegistry(int maxCallersOverTime) {
		this.maxCallersOverTime = maxCallersOverTime;
	}

	Optional<Invalid> check(Contract contract) {
		int i = 0;
		for (Caller caller : contract.callers()) {
			Optional<Invalid> invalid = check(contract.customer(), caller, "$.callers[" + i + "]");
			if (invalid.isPresent()) {
				return invalid;
			}
			i++;
		}
		return checkCallerLimit(contract);
	}

	private Optional<Invalid> check(CustomerId customer, Caller caller, String path) {
		CallerRecord registered = callersOf(customer).get(caller.name());
		if (registered != null && !registered.homeRegion().equals(caller.homeRegion())) {
			return Optional.of(new Invalid(path + ".home", "the home of '" + caller.name() + "' is '"
					+ registered.homeRegion() + "' for ever; add a caller of another name and key for another home"));
		}
		Owner owner = this.ownersByKey.get(caller.keySha256());
		if (owner != null && !owner.equals(new Owner(customer, caller.name()))) {
			return Optional.of(new Invalid(path + ".keySha256",
					"this key is or was the key of another caller; issue a new key for '" + caller.name() + "'"));
		}
		return Optional.empty();
	}

	private Optional<Invalid> checkCallerLimit(Contract contract) {
		Map<CallerName, CallerRecord> registered = callersOf(contract.customer());
		Set<CallerName> names = new HashSet<>(registered.keySet());
		Set<String> keys = new HashSet<>();
		registered.values().forEach((record) -> keys.addAll(record.keys()));
		contract.callers().forEach((caller) -> {
			names.add(caller.name());
			keys.add(caller.keySha256());
		});
		if (names.size() <= this.maxCallersOverTime && keys.size() <= this.maxCallersOverTime) {
			return Optional.empty();
		}
		return Optional.of(new Invalid("$.callers", "a customer may have had " + this.maxCallersOverTime
				+ " callers and keys over time; reuse earlier names"));
	}

	void add(Contract contract) {
		for (Caller caller : contract.callers()) {
			CallerRecord previous = callersOf(contract.customer()).get(caller.name());
			Set<String> keys = new HashSet<>((previous != null) ? previous.keys() : Set.of());
			if (keys.add(caller.keySha256())) {
				put(contract.customer(), new CallerRecord(caller.name(), caller.homeRegion(), keys));
			}
		}
	}

	private void put(CustomerId customer, CallerRecord record) {
		this.callersByCustomer.computeIfAbsent(customer, (id) -> new LinkedHashMap<>()).put(record.name(), record);
		record.keys().forEach((key) -> this.ownersByKey.put(key, new Owner(customer, record.name())));
	}

	void restore(CustomerId customer, Collection<CallerRecord> records) {
		records.forEach((record) -> put(customer, record));
	}

	void clear() {
		this.callersByCustomer.clear();
		this.ownersByKey.clear();
	}

	List<CallerRecord> records(CustomerId customer) {
		return new ArrayList<>(callersOf(customer).values());
	}

	private Map<CallerName, CallerRecord> callersOf(CustomerId customer) {
		return this.callersByCustomer.getOrDefault(customer, Map.of());
	}

	private record Owner(CustomerId customer, CallerName caller) {

	}

}
