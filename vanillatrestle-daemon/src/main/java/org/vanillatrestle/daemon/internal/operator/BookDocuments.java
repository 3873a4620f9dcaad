package org.vanillatrestle.daemon.internal.operator;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.vanillatrestle.internal.book.AuditRecord;
import org.vanillatrestle.internal.book.BookEntry;
import org.vanillatrestle.internal.book.DocumentChange;
import org.vanillatrestle.internal.book.RevisionRecord;
import org.vanillatrestle.internal.contract.ContractWriter;

/**
 * Converts entries, revisions and audit records of the contract book to JSON.
 * <p>
 * Stateless and thread safe.
 */
final class BookDocuments {

	private BookDocuments() {
	}

	static ObjectNode entry(BookEntry entry) {
		ObjectNode node = summary(entry);
		entry.contract().ifPresent((contract) -> node.set("contract", ContractWriter.toNode(contract)));
		return node;
	}

	static ObjectNode summary(BookEntry entry) {
		ObjectNode node = JsonNodeFactory.instance.objectNode();
		node.put("customer", entry.customer().value());
		node.put("revision", entry.revision());
		node.put("index", entry.index());
		node.put("removed", entry.contract().isEmpty());
		return node;
	}

	static ObjectNode revision(RevisionRecord record) {
		ObjectNode node = JsonNodeFactory.instance.objectNode();
		node.put("revision", record.revision());
		node.put("index", record.index());
		node.put("operator", record.operator());
		node.put("at", Instant.ofEpochMilli(record.atMillis()).toString());
		node.put("removed", record.removal());
		node.put("sha256", record.sha256());
		return node;
	}

	static ObjectNode audit(AuditRecord record) {
		ObjectNode node = JsonNodeFactory.instance.objectNode();
		node.put("index", record.index());
		node.put("at", Instant.ofEpochMilli(record.atMillis()).toString());
		node.put("event", record.event().name());
		node.put(record.event().isVmEvent() ? "reporter" : "operator", record.actor());
		node.put(record.event().isVmEvent() ? "vm" : "customer", record.subject());
		if (!record.event().isVmEvent()) {
			node.put("fromRevision", record.fromRevision());
			node.put("toRevision", record.toRevision());
		}
		ArrayNode changes = node.putArray("changes");
		record.diff().changes().forEach((change) -> changes.add(change(change)));
		node.put("changesOmitted", record.diff().omittedCount());
		node.put("detail", record.detail());
		return node;
	}

	private static ObjectNode change(DocumentChange change) {
		ObjectNode node = JsonNodeFactory.instance.objectNode();
		node.put("path", change.path());
		node.put("before", change.before());
		node.put("after", change.after());
		return node;
	}

	static ObjectNode region(RegionStatus region, List<RevisionRecord> history, long nowMillis) {
		ObjectNode node = JsonNodeFactory.instance.objectNode();
		node.put("region", region.region().value());
		node.put("index", region.changeIndex());
		Optional<RevisionRecord> inForce = inForceAt(region.changeIndex(), history);
		inForce.ifPresent((record) -> node.put("revision", record.revision()));
		inForce.ifPresent((record) -> node.put("removed", record.removal()));
		node.put("reachable", region.unreachableForMillis().isEmpty());
		region.unreachableForMillis()
			.ifPresent((millis) -> node.put("unreachableSince", Instant.ofEpochMilli(nowMillis - millis).toString()));
		return node;
	}

	private static Optional<RevisionRecord> inForceAt(long index, List<RevisionRecord> history) {
		return history.stream().filter((record) -> record.index() <= index).reduce((first, second) -> second);
	}

}
