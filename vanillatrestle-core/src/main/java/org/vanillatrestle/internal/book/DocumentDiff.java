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
 * The differences between two revisions of a contract, bounded in number and length.
 * <p>
 * Immutable and thread safe. Equal arguments give equal differences on every VM.
 *
 * @param changes the differences, in the order of the document
 * @param omitted how many further differences were left out
 */
public record DocumentDiff(List<DocumentChange> changes, int omitted) {

	/**
	 * No difference.
	 */
	public static final DocumentDiff NONE = new DocumentDiff(List.of(), 0);

	private static final int MAX_CHANGES = 32;

	private static final int MAX_VALUE_LENGTH = 120;

	public DocumentDiff {
		changes = List.copyOf(changes);
	}

	/**
	 * Compares two revisions. The revision's own number is no difference.
	 * @param before the contract before, empty if there was none
	 * @param after the contract after, empty if it was removed
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
	 * Gathers differences up to the bound. Not thread safe.
	 */
	private static final class Collector {

		private final List<DocumentChange> changes = new ArrayList<>();

		private int omitted;

		private void compare(String path, JsonNode before, JsonNode after) {
			if (before.equals(after)) {
				return;
			}
			if (before.isObject() && after.isObject()) {
				compareFields(path + ".", fields(before), fields(after), "");
			}
			else if (isNamedList(before) && isNamedList(after)) {
				compareFields(path + "[", items(before), items(after), "]");
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
			this.changes.add(new DocumentChange(path, shorten(before.toString()), shorten(after.toString())));
		}

		private static String shorten(String value) {
			return (value.length() <= MAX_VALUE_LENGTH) ? value : value.substring(0, MAX_VALUE_LENGTH) + "…";
		}

		private static boolean isNamedList(JsonNode node) {
			return node.isArray() && !node.isEmpty() && node.get(0).has("name");
		}

		private static Map<String, JsonNode> fields(JsonNode node) {
			Map<String, JsonNode> fields = new LinkedHashMap<>();
			node.fields().forEachRemaining((field) -> fields.put(field.getKey(), field.getValue()));
			return fields;
		}

		private static Map<String, JsonNode> items(JsonNode node) {
			Map<String, JsonNode> items = new LinkedHashMap<>();
			node.forEach((item) -> items.put(item.get("name").textValue(), item));
			return items;
		}

	}

}
