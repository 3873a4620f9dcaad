package org.vanillatrestle.internal.book;

import org.vanillatrestle.Contract;
import org.vanillatrestle.Contracts;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.InvalidDocumentException;

/**
 * Creates contract documents and commands for tests.
 */
final class ContractDocuments {

	private ContractDocuments() {
	}

	static String document(String customer, long revision, int priority) {
		return document(customer, revision, priority, "bagmati", keySha256(customer));
	}

	static String document(String customer, long revision, int priority, String home, String keySha256) {
		return """
				{ "customer": "%s", "revision": %d, "objective": "COST", "allowedRegions": ["bagmati", "koshi"],
				  "callers": [ { "name": "clerks", "home": "%s", "keySha256": "%s" } ],
				  "services": [ { "name": "sheets", "kind": "MODEL", "models": ["sheet-1"], "priority": %d } ] }
				""".formatted(customer, revision, home, keySha256, priority);
	}

	static String keySha256(String name) {
		return "%064x".formatted(Integer.toUnsignedLong(name.hashCode()));
	}

	static Contract contract(String customer, long revision, int priority) {
		return parse(document(customer, revision, priority));
	}

	static Contract parse(String document) {
		try {
			return Contracts.parse(document);
		}
		catch (InvalidDocumentException ex) {
			throw new IllegalStateException(ex);
		}
	}

	static BookCommand.Apply apply(String operator, String customer, long revision, int priority) {
		return new BookCommand.Apply(operator, new CustomerId(customer), document(customer, revision, priority), 1000);
	}

	static BookCommand.Remove remove(String operator, String customer, long revision) {
		return new BookCommand.Remove(operator, new CustomerId(customer), revision, 1000);
	}

}
