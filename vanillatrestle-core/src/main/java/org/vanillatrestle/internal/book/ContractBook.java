package org.vanillatrestle.internal.book;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import org.vanillatrestle.Contract;
import org.vanillatrestle.Contracts;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.InvalidDocumentException;
import org.vanillatrestle.internal.book.BookCommand.Apply;
import org.vanillatrestle.internal.book.BookCommand.RecordVmEvent;
import org.vanillatrestle.internal.book.BookCommand.Remove;
import org.vanillatrestle.internal.book.BookOutcome.Accepted;
import org.vanillatrestle.internal.book.BookOutcome.Conflict;
import org.vanillatrestle.internal.book.BookOutcome.Invalid;
import org.vanillatrestle.internal.book.BookOutcome.Repeated;
import org.vanillatrestle.internal.book.BookOutcome.VmEventRecorded;

/**
 * The replicated state machine of the contract book. It applies committed commands to the
 * contracts, their revision history and the audit trail.
 * <p>
 * Deterministic: the same commands at the same indexes produce the same state and
 * outcomes on every replica. Each accepted change of a customer's contract, including a
 * removal, increases its revision by one; the revision never decreases. The first
 * contract of a customer may have any revision, so that contracts can be imported from
 * version control. Not thread safe.
 */
public final class ContractBook implements BookSource {

	private static final long MAX_REVISION = 1_000_000_000_000_000L;

	private final BookLimits limits;

	private final ContractTable table = new ContractTable();

	private final CallerRegistry callers;

	private final Map<CustomerId, RevisionHistory> histories = new HashMap<>();

	private final AuditTrail contractAuditTrail;

	private final AuditTrail vmAuditTrail;

	private long appliedIndex;

	private long changeIndex;

	/**
	 * Creates an empty book.
	 * @param limits the limits on what the book keeps
	 */
	public ContractBook(BookLimits limits) {
		this.limits = limits;
		this.callers = new CallerRegistry(limits.maxCallersOverTime());
		this.contractAuditTrail = new AuditTrail(limits.maxContractAuditRecords(), limits.auditRetentionMillis());
		this.vmAuditTrail = new AuditTrail(limits.maxVmAuditRecords(), limits.auditRetentionMillis());
	}

	/**
	 * Applies a committed command.
	 * @param index the command's index in the replicated log, greater than that of the
	 * previous command
	 * @param command the command
	 * @return the outcome
	 * @throws IllegalArgumentException if the index is not greater than the last applied
	 * one
	 */
	public BookOutcome apply(long index, BookCommand command) {
		if (index <= this.appliedIndex) {
			throw new IllegalArgumentException(
					"The index " + index + " is not greater than the last applied index " + this.appliedIndex + ".");
		}
		this.appliedIndex = index;
		if (command instanceof Apply apply) {
			return applyContract(index, apply);
		}
		if (command instanceof Remove remove) {
			return applyRemoval(index, remove);
		}
		return applyVmEvent(index, (RecordVmEvent) command);
	}

	private BookOutcome applyContract(long index, Apply command) {
		ContractChange change;
		try {
			change = ContractChange.of(index, command, parse(command));
		}
		catch (InvalidDocumentException ex) {
			Invalid invalid = toInvalid(ex);
			audit(ContractChange.unreadable(index, command), invalid, DocumentDiff.NONE);
			return invalid;
		}
		return applyChange(change);
	}

	private static Contract parse(Apply command) throws InvalidDocumentException {
		Contract contract = Contracts.parse(command.document());
		if (!contract.customer().equals(command.customer())) {
			throw new InvalidDocumentException("$.customer", "the document is of '" + contract.customer()
					+ "', but was sent to the contract of '" + command.customer() + "'");
		}
		if (contract.revision() > MAX_REVISION) {
			throw new InvalidDocumentException("$.revision",
					"a revision is at most " + MAX_REVISION + ", so that later ones can follow");
		}
		return contract;
	}

	private static Invalid toInvalid(InvalidDocumentException ex) {
		return new Invalid(ex.path(), ex.getMessage().substring(ex.path().length() + ": ".length()));
	}

	private BookOutcome applyRemoval(long index, Remove command) {
		return applyChange(ContractChange.of(index, command));
	}

	private BookOutcome applyChange(ContractChange change) {
		BookOutcome outcome = evaluate(change);
		if (!(outcome instanceof Accepted)) {
			audit(change, outcome, DocumentDiff.NONE);
			return outcome;
		}
		Optional<Contract> before = this.table.get(change.customer()).flatMap(BookEntry::contract);
		audit(change, outcome, DocumentDiff.between(before, change.contract()));
		putInForce(change);
		return outcome;
	}

	private BookOutcome evaluate(ContractChange change) {
		Optional<RevisionRecord> sameRevision = history(change.customer()).find(change.revision());
		if (sameRevision.isPresent() && sameRevision.get().sha256().equals(change.sha256())) {
			return new Repeated(sameRevision.get().index(), change.revision());
		}
		Optional<BookEntry> entry = this.table.get(change.customer());
		Optional<Conflict> conflict = findConflict(change, entry);
		if (conflict.isPresent()) {
			return conflict.get();
		}
		if (entry.isEmpty() && this.table.size() >= this.limits.maxCustomers()) {
			return new Invalid("$.customer", "the book holds " + this.limits.maxCustomers() + " customers at most");
		}
		Optional<Invalid> invalid = change.contract().flatMap(this.callers::check);
		return invalid.isPresent() ? invalid.get() : new Accepted(change.index(), change.revision());
	}

	private static Optional<Conflict> findConflict(ContractChange change, Optional<BookEntry> entry) {
		if (entry.isEmpty()) {
			return change.contract().isPresent() ? Optional.empty()
					: Optional.of(new Conflict(0, Optional.empty(), "the customer has no contract to remove"));
		}
		long inForce = entry.get().revision();
		if (change.revision() != inForce + 1) {
			return Optional.of(new Conflict(inForce, entry.get().contract(), "revision " + inForce
					+ " is in force; the next is " + (inForce + 1) + ", but " + change.revision() + " was sent"));
		}
		if (change.contract().isEmpty() && entry.get().contract().isEmpty()) {
			return Optional.of(new Conflict(inForce, Optional.empty(), "the contract is removed already"));
		}
		return Optional.empty();
	}

	private void putInForce(ContractChange change) {
		this.changeIndex = change.index();
		this.table.put(change.entry());
		change.contract().ifPresent(this.callers::add);
		this.histories
			.computeIfAbsent(change.customer(),
					(customer) -> new RevisionHistory(this.limits.maxRevisionsPerCustomer()))
			.add(change.record());
	}

	private void audit(ContractChange change, BookOutcome outcome, DocumentDiff diff) {
		long fromRevision = this.table.get(change.customer()).map(BookEntry::revision).orElse(0L);
		this.contractAuditTrail
			.add(new AuditRecord(change.index(), change.atMillis(), toAuditEvent(outcome), change.operator(),
					change.customer().value(), fromRevision, change.revision(), diff, auditDetail(outcome)));
	}

	private static AuditEvent toAuditEvent(BookOutcome outcome) {
		if (outcome instanceof Accepted) {
			return AuditEvent.ACCEPTED;
		}
		if (outcome instanceof Repeated) {
			return AuditEvent.REPEATED;
		}
		return (outcome instanceof Conflict) ? AuditEvent.CONFLICT : AuditEvent.INVALID;
	}

	private static String auditDetail(BookOutcome outcome) {
		if (outcome instanceof Conflict conflict) {
			return conflict.reason();
		}
		return (outcome instanceof Invalid invalid) ? invalid.path() + ": " + invalid.reason() : "";
	}

	private BookOutcome applyVmEvent(long index, RecordVmEvent command) {
		this.vmAuditTrail.add(new AuditRecord(index, command.proposedAtMillis(), command.event(),
				command.reporter().value(), command.vm().value(), 0, 0, DocumentDiff.NONE, command.region().value()));
		return new VmEventRecorded();
	}

	/**
	 * Returns the log index of the last applied command.
	 * @return the index, 0 if no command was applied
	 */
	public long appliedIndex() {
		return this.appliedIndex;
	}

	@Override
	public long changeIndex() {
		return this.changeIndex;
	}

	@Override
	public BookPage entriesAfter(long index, int maxBytes) {
		return this.table.pageAfter(index, maxBytes, Math.max(index, this.changeIndex));
	}

	/**
	 * Finds the latest accepted change of a customer's contract.
	 * @param customer the customer
	 * @return the change, or empty if the customer never had a contract
	 */
	public Optional<BookEntry> entry(CustomerId customer) {
		return this.table.get(customer);
	}

	/**
	 * Returns the latest accepted change of every customer that has or had a contract.
	 * @return the changes, in ascending order of index
	 */
	public Collection<BookEntry> entries() {
		return List.copyOf(this.table.entries());
	}

	/**
	 * Returns the accepted revisions of a customer that are still kept.
	 * @param customer the customer
	 * @return the revisions, in ascending order
	 */
	public List<RevisionRecord> revisions(CustomerId customer) {
		return history(customer).records();
	}

	/**
	 * Returns records of the audit trail.
	 * @param sinceMillis the earliest time of the returned records, in milliseconds since
	 * 1970
	 * @param customer the customer whose records are returned; if empty, the records of
	 * all customers and VMs
	 * @return the records, in ascending order of index
	 */
	public List<AuditRecord> audit(long sinceMillis, Optional<CustomerId> customer) {
		Stream<AuditRecord> vmRecords = customer.isPresent() ? Stream.empty() : this.vmAuditTrail.records().stream();
		return Stream.concat(this.contractAuditTrail.records().stream(), vmRecords)
			.filter((record) -> record.atMillis() >= sinceMillis)
			.filter((record) -> customer.isEmpty() || customer.get().value().equals(record.subject()))
			.sorted(Comparator.comparingLong(AuditRecord::index))
			.toList();
	}

	/**
	 * Takes a snapshot of the whole state.
	 * @return the snapshot
	 */
	public BookSnapshot snapshot() {
		List<BookSnapshot.CustomerState> customers = new ArrayList<>();
		for (BookEntry entry : this.table.entries()) {
			customers.add(new BookSnapshot.CustomerState(entry, revisions(entry.customer()),
					this.callers.records(entry.customer())));
		}
		return new BookSnapshot(this.appliedIndex, customers, this.contractAuditTrail.records(),
				this.vmAuditTrail.records());
	}

	/**
	 * Replaces the whole state with that of a snapshot.
	 * @param snapshot the snapshot
	 */
	public void restore(BookSnapshot snapshot) {
		this.table.clear();
		this.callers.clear();
		this.histories.clear();
		this.appliedIndex = snapshot.appliedIndex();
		this.changeIndex = 0;
		for (BookSnapshot.CustomerState customer : snapshot.customers()) {
			restore(customer);
		}
		this.contractAuditTrail.restore(snapshot.contractAuditRecords());
		this.vmAuditTrail.restore(snapshot.vmAuditRecords());
	}

	private void restore(BookSnapshot.CustomerState customer) {
		BookEntry entry = customer.entry();
		this.table.put(entry);
		this.changeIndex = Math.max(this.changeIndex, entry.index());
		this.callers.restore(entry.customer(), customer.callers());
		RevisionHistory history = new RevisionHistory(this.limits.maxRevisionsPerCustomer());
		customer.history().forEach(history::add);
		this.histories.put(entry.customer(), history);
	}

	private RevisionHistory history(CustomerId customer) {
		return this.histories.getOrDefault(customer, RevisionHistory.EMPTY);
	}

}
