package org.vanillatrestle.internal.book;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.vanillatrestle.Contract;
import org.vanillatrestle.internal.contract.ContractWriter;

/**
 * The differences between two revisions of a contract. Their number and the length of the
 * values are limited.
 * <p>
 * Immutable and thread safe. The same two revisions produce the same differences on every
 * VM.
 *
 * @param changes the differences, in document order
 * @param omittedCount the number of further differences that are not listed
 */
public record DocumentDiff(List<DocumentChange> changes, int omittedCount) {

	/**
	 * No differences.
	 */
	public static final DocumentDiff NONE = new DocumentDiff(List.of(), 0);

	private static final int MAX_CHANGES = 32;

	private static final int MAX_VALUE_CHARACTERS = 120;

	public DocumentDiff {
		changes = List.copyOf(changes);
	}

	/**
	 * Compares two revisions of a contract. The revision number itself is not compared.
	 * @param before the earlier contract, empty if there was none
	 * @param after the later contract, empty if it was removed
	 * @return the differences
	 */
	public static DocumentDiff between(Optional<Contract> before, Optional<Contract> after) {
		Collector collector = new Collector();
		if (before.isEmpty() || after.isEmpty()) {
			collector.add("$", toNode(before), toNode(after));
		}
		else {
			collector.compare("$", toNode(before), toNode(after));
		}
		return new DocumentDiff(collector.changes, collector.omitted);
	}

	private static JsonNode toNode(Optional<Contract> contract) {
		if (contract.isEmpty()) {
			return MissingNode.getInstance();
		}
		return ContractWriter.toNode(contract.get()).without("revision");
	}

	/**
	 * Collects differences up to the maximum number. Not thread safe.
	 */
	private static final class Collector {

		private final List<DocumentChange> changes = new ArrayList<>();

		private int omitted;

		private void compare(String path, JsonNode before, JsonNode after) {
			if (before.equals(after)) {
				return;
			}
			if (before.isObject() && after.isObject()) {
				compareFields(path + ".", fieldsByName(before), fieldsByName(after), "");
			}
			else if (isNamedList(before) && isNamedList(after)) {
				compareFields(path + "[", itemsByName(before), itemsByName(after), "]");
			}
			else {
				add(path, before, after);
			}
		}

		private void compareFields(String prefix, Map<String, JsonNode> before, Map<String, JsonNode> after,
				String suffix) {
			Set<String> names = new LinkedHashSet<>(before.keySet());
			names.addAll(after.keySet());
			for (String name : names) {
				compare(prefix + name + suffix, before.getOrDefault(name, MissingNode.getInstance()),
						after.getOrDefault(name, MissingNode.getInstance()));
			}
		}

		private void add(String path, JsonNode before, JsonNode after) {
			if (this.changes.size() == MAX_CHANGES) {
				this.omitted++;
				return;
			}
			this.changes.add(new DocumentChange(path, truncate(before.toString()), truncate(after.toString())));
		}

		private static String truncate(String value) {
			return (value.length() <= MAX_VALUE_CHARACTERS) ? value : value.substring(0, MAX_VALUE_CHARACTERS) + "…";
		}

		private static boolean isNamedList(JsonNode node) {
			return node.isArray() && !node.isEmpty() && node.get(0).has("name");
		}

		private static Map<String, JsonNode> fieldsByName(JsonNode node) {
			Map<String, JsonNode> fields = new LinkedHashMap<>();
			node.fields().forEachRemaining((field) -> fields.put(field.getKey(), field.getValue()));
			return fields;
		}

		private static Map<String, JsonNode> itemsByName(JsonNode node) {
			Map<String, JsonNode> items = new LinkedHashMap<>();
			node.forEach((item) -> items.put(item.get("name").textValue(), item));
			return items;
		}

	}

}
