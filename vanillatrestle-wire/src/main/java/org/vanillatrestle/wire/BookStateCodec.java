package org.vanillatrestle.wire;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.vanillatrestle.CallerName;
import org.vanillatrestle.Contract;
import org.vanillatrestle.Contracts;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.InvalidDocumentException;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.internal.book.AuditRecord;
import org.vanillatrestle.internal.book.BookEntry;
import org.vanillatrestle.internal.book.BookPage;
import org.vanillatrestle.internal.book.BookSnapshot;
import org.vanillatrestle.internal.book.CallerRecord;
import org.vanillatrestle.internal.book.DocumentChange;
import org.vanillatrestle.internal.book.DocumentDiff;
import org.vanillatrestle.internal.book.RevisionRecord;
import org.vanillatrestle.wire.generated.state.AuditRecordMessage;
import org.vanillatrestle.wire.generated.state.BookEntryMessage;
import org.vanillatrestle.wire.generated.state.BookPageMessage;
import org.vanillatrestle.wire.generated.state.BookPullMessage;
import org.vanillatrestle.wire.generated.state.BookSnapshotMessage;
import org.vanillatrestle.wire.generated.state.CallerRecordMessage;
import org.vanillatrestle.wire.generated.state.CustomerStateMessage;
import org.vanillatrestle.wire.generated.state.DocumentChangeMessage;
import org.vanillatrestle.wire.generated.state.RevisionRecordMessage;

/**
 * Writes and reads pages and snapshots of the contract book.
 * <p>
 * Stateless and thread safe.
 */
public final class BookStateCodec {

	private BookStateCodec() {
	}

	/**
	 * Writes a page.
	 * @param page the page
	 * @return the bytes
	 */
	public static byte[] encode(BookPage page) {
		BookPageMessage.Builder message = BookPageMessage.newBuilder()
			.setAfterIndex(page.afterIndex())
			.setSourceIndex(page.sourceIndex())
			.setComplete(page.complete());
		page.entries().forEach((entry) -> message.addEntries(write(entry)));
		return message.build().toByteArray();
	}

	/**
	 * Reads a page.
	 * @param bytes the bytes
	 * @return the page
	 * @throws MalformedStateException if the bytes are no page
	 */
	public static BookPage decodePage(byte[] bytes) throws MalformedStateException {
		return StateDecoder.decode(bytes, BookPageMessage.parser(),
				(message) -> new BookPage(message.getAfterIndex(),
						StateDecoder.readAll(message.getEntriesList(), BookStateCodec::read), message.getSourceIndex(),
						message.getComplete()));
	}

	/**
	 * Writes the request for a page.
	 * @param pull the request
	 * @return the bytes
	 */
	public static byte[] encode(Pull pull) {
		return BookPullMessage.newBuilder()
			.setAfterIndex(pull.afterIndex())
			.setMaxBytes(pull.maxBytes())
			.build()
			.toByteArray();
	}

	/**
	 * Reads the request for a page.
	 * @param bytes the bytes
	 * @return the request
	 * @throws MalformedStateException if the bytes are no request
	 */
	public static Pull decodePull(byte[] bytes) throws MalformedStateException {
		return StateDecoder.decode(bytes, BookPullMessage.parser(),
				(message) -> new Pull(message.getAfterIndex(), message.getMaxBytes()));
	}

	/**
	 * Writes a snapshot.
	 * @param snapshot the snapshot
	 * @return the bytes
	 */
	public static byte[] encode(BookSnapshot snapshot) {
		BookSnapshotMessage.Builder message = BookSnapshotMessage.newBuilder().setAppliedIndex(snapshot.appliedIndex());
		snapshot.customers().forEach((customer) -> message.addCustomers(write(customer)));
		snapshot.contractAuditRecords().forEach((record) -> message.addContractRecords(write(record)));
		snapshot.vmAuditRecords().forEach((record) -> message.addVmRecords(write(record)));
		return message.build().toByteArray();
	}

	/**
	 * Reads a snapshot.
	 * @param bytes the bytes
	 * @return the snapshot
	 * @throws MalformedStateException if the bytes are no snapshot
	 */
	public static BookSnapshot decodeSnapshot(byte[] bytes) throws MalformedStateException {
		return StateDecoder.decode(bytes, BookSnapshotMessage.parser(),
				(message) -> new BookSnapshot(message.getAppliedIndex(),
						StateDecoder.readAll(message.getCustomersList(), BookStateCodec::read),
						StateDecoder.readAll(message.getContractRecordsList(), BookStateCodec::read),
						StateDecoder.readAll(message.getVmRecordsList(), BookStateCodec::read)));
	}

	private static BookEntryMessage write(BookEntry entry) {
		return BookEntryMessage.newBuilder()
			.setIndex(entry.index())
			.setCustomer(entry.customer().value())
			.setRevision(entry.revision())
			.setDocument(entry.contract().map(Contracts::write).orElse(""))
			.build();
	}

	private static BookEntry read(BookEntryMessage message) throws InvalidDocumentException {
		CustomerId customer = new CustomerId(message.getCustomer());
		Optional<Contract> contract = BookCommandCodec.readDocument(message.getDocument());
		if (contract.isEmpty()) {
			return BookEntry.removal(message.getIndex(), customer, message.getRevision());
		}
		if (!contract.get().customer().equals(customer) || contract.get().revision() != message.getRevision()) {
			throw new IllegalArgumentException("the entry's document is of another customer or revision");
		}
		return BookEntry.of(message.getIndex(), contract.get());
	}

	private static CustomerStateMessage write(BookSnapshot.CustomerState customer) {
		CustomerStateMessage.Builder message = CustomerStateMessage.newBuilder().setEntry(write(customer.entry()));
		customer.history().forEach((record) -> message.addHistory(write(record)));
		customer.callers().forEach((record) -> message.addCallers(write(record)));
		return message.build();
	}

	private static BookSnapshot.CustomerState read(CustomerStateMessage message) throws InvalidDocumentException {
		return new BookSnapshot.CustomerState(read(message.getEntry()),
				StateDecoder.readAll(message.getHistoryList(), BookStateCodec::read),
				StateDecoder.readAll(message.getCallersList(), BookStateCodec::read));
	}

	private static RevisionRecordMessage write(RevisionRecord record) {
		return RevisionRecordMessage.newBuilder()
			.setRevision(record.revision())
			.setIndex(record.index())
			.setOperator(record.operator())
			.setAtMillis(record.atMillis())
			.setRemoval(record.removal())
			.setSha256(record.sha256())
			.build();
	}

	private static RevisionRecord read(RevisionRecordMessage message) {
		return new RevisionRecord(message.getRevision(), message.getIndex(), message.getOperator(),
				message.getAtMillis(), message.getRemoval(), message.getSha256());
	}

	private static CallerRecordMessage write(CallerRecord record) {
		return CallerRecordMessage.newBuilder()
			.setName(record.name().value())
			.setHome(record.homeRegion().value())
			.addAllKeys(record.keys().stream().sorted().toList())
			.build();
	}

	private static CallerRecord read(CallerRecordMessage message) {
		return new CallerRecord(new CallerName(message.getName()), new RegionId(message.getHome()),
				Set.copyOf(message.getKeysList()));
	}

	private static AuditRecordMessage write(AuditRecord record) {
		AuditRecordMessage.Builder message = AuditRecordMessage.newBuilder()
			.setIndex(record.index())
			.setAtMillis(record.atMillis())
			.setEvent(BookCommandCodec.toCode(record.event()))
			.setActor(record.actor())
			.setSubject(record.subject())
			.setFromRevision(record.fromRevision())
			.setToRevision(record.toRevision())
			.setOmitted(record.diff().omittedCount())
			.setDetail(record.detail());
		record.diff().changes().forEach((change) -> message.addChanges(write(change)));
		return message.build();
	}

	private static DocumentChangeMessage write(DocumentChange change) {
		return DocumentChangeMessage.newBuilder()
			.setPath(change.path())
			.setBefore(change.before())
			.setAfter(change.after())
			.build();
	}

	private static AuditRecord read(AuditRecordMessage message) {
		List<DocumentChange> changes = message.getChangesList()
			.stream()
			.map((change) -> new DocumentChange(change.getPath(), change.getBefore(), change.getAfter()))
			.toList();
		return new AuditRecord(message.getIndex(), message.getAtMillis(), BookCommandCodec.fromCode(message.getEvent()),
				message.getActor(), message.getSubject(), message.getFromRevision(), message.getToRevision(),
				new DocumentDiff(changes, message.getOmitted()), message.getDetail());
	}

	/**
	 * The request for a page of the contract book.
	 *
	 * @param afterIndex the index after which changes are wanted
	 * @param maxBytes the size that the page should not exceed, in bytes
	 */
	public record Pull(long afterIndex, int maxBytes) {

	}

}
