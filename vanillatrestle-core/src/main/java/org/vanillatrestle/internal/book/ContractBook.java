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
import org.vanillatrestle.internal.book.BookCommand.NoteVm;
import org.vanillatrestle.internal.book.BookCommand.Remove;
import org.vanillatrestle.internal.book.BookOutcome.Accepted;
import org.vanillatrestle.internal.book.BookOutcome.Conflict;
import org.vanillatrestle.internal.book.BookOutcome.Invalid;
import org.vanillatrestle.internal.book.BookOutcome.Noted;
import org.vanillatrestle.internal.book.BookOutcome.Repeated;

/**
 * The state machine of the contract book: what committed commands make of contracts,
 * their history and the audit trail.
 * <p>
 * Deterministic: equal commands at equal indexes give equal states and outcomes on every
 * replica. A customer's revision rises by one with each accepted change, a removal
 * included, and never falls. The first contract of a customer may bear any revision, so
 * that contracts can be brought in from version control. Not thread safe.
 */
public final class ContractBook implements BookSource {

	private static final long MAX_REVISION = 1_000_000_000_000_000L;

	private final BookLimits limits;

	private final ContractTable table = new ContractTable();

	private final CallerRegistry callers;

	private final Map<CustomerId, RevisionHistory> histories = new HashMap<>();

	private final AuditTrail contractTrail;

	private final AuditTrail vmTrail;

	private long appliedIndex;

	private long changeIndex;

	/**
	 * Creates an empty book.
	 * @param limits the bounds
	 */
	public ContractBook(BookLimits limits) {
		this.limits = limits;
		this.callers = new CallerRegistry(limits.maxCallersEver());
		this.contractTrail = new AuditTrail(limits.maxContractRecords(), limits.auditRetentionMillis());
		this.vmTrail = new AuditTrail(limits.maxVmRecords(), limits.auditRetentionMillis());
	}

	/**
	 * Applies a committed command.
	 * @param index the command's index in the replicated log, above the last one
	 * @param command the command
	 * @return the outcome
	 * @throws IllegalArgumentException if the index does not ascend
	 */
	public BookOutcome apply(long index, BookCommand command) {
		if (index <= this.appliedIndex) {
			throw new IllegalArgumentException(
					"The index " + index + " does not ascend from " + this.appliedIndex + ".");
		}
		this.appliedIndex = index;
		if (command instanceof Apply apply) {
			return applyContract(index, apply);
		}
		if (command instanceof Remove remove) {
			return applyRemoval(index, remove);
		}
		return applyNote(index, (NoteVm) command);
	}

	private BookOutcome applyContract(long index, Apply command) {
		ContractChange change;
		try {
			change = ContractChange.of(index, command, parse(command));
		}
		catch (InvalidDocumentException ex) {
			Invalid invalid = invalid(ex);
			audit(ContractChange.unreadable(index, command), invalid, DocumentDiff.NONE);
			return invalid;
		}
		return decide(change);
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

	private static Invalid invalid(InvalidDocumentException ex) {
		return new Invalid(ex.path(), ex.getMessage().substring(ex.path().length() + ": ".length()));
	}

	private BookOutcome applyRemoval(long index, Remove command) {
		return decide(ContractChange.of(index, command));
	}

	private BookOutcome decide(ContractChange change) {
		BookOutcome outcome = outcome(change);
		if (!(outcome instanceof Accepted)) {
			audit(change, outcome, DocumentDiff.NONE);
			return outcome;
		}
		Optional<Contract> before = this.table.get(change.customer()).flatMap(BookEntry::contract);
		audit(change, outcome, DocumentDiff.between(before, change.contract()));
		bringIntoForce(change);
		return outcome;
	}

	private BookOutcome outcome(ContractChange change) {
		Optional<RevisionRecord> same = history(change.customer()).find(change.revision());
		if (same.isPresent() && same.get().sha256().equals(change.sha256())) {
			return new Repeated(same.get().index(), change.revision());
		}
		Optional<BookEntry> entry = this.table.get(change.customer());
		Optional<Conflict> conflict = conflict(change, entry);
		if (conflict.isPresent()) {
			return conflict.get();
		}
		if (entry.isEmpty() && this.table.size() >= this.limits.maxContracts()) {
			return new Invalid("$.customer", "the book holds " + this.limits.maxContracts() + " customers at most");
		}
		Optional<Invalid> fault = change.contract().flatMap(this.callers::check);
		return fault.isPresent() ? fault.get() : new Accepted(change.index(), change.revision());
	}

	private static Optional<Conflict> conflict(ContractChange change, Optional<BookEntry> entry) {
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

	private void bringIntoForce(ContractChange change) {
		this.changeIndex = change.index();
		this.table.put(change.entry());
		change.contract().ifPresent(this.callers::add);
		this.histories.computeIfAbsent(change.customer(), (id) -> new RevisionHistory(this.limits.maxHistory()))
			.add(change.record());
	}

	private void audit(ContractChange change, BookOutcome outcome, DocumentDiff diff) {
		long fromRevision = this.table.get(change.customer()).map(BookEntry::revision).orElse(0L);
		this.contractTrail.add(new AuditRecord(change.index(), change.atMillis(), event(outcome), change.operator(),
				change.customer().value(), fromRevision, change.revision(), diff, detail(outcome)));
	}

	private static AuditEvent event(BookOutcome outcome) {
		if (outcome instanceof Accepted) {
			return AuditEvent.ACCEPTED;
		}
		if (outcome instanceof Repeated) {
			return AuditEvent.REPEATED;
		}
		return (outcome instanceof Conflict) ? AuditEvent.CONFLICT : AuditEvent.INVALID;
	}

	private static String detail(BookOutcome outcome) {
		if (outcome instanceof Conflict conflict) {
			return conflict.reason();
		}
		return (outcome instanceof Invalid invalid) ? invalid.path() + ": " + invalid.reason() : "";
	}

	private BookOutcome applyNote(long index, NoteVm command) {
		this.vmTrail.add(new AuditRecord(index, command.proposedAtMillis(), command.event(), command.reporter().value(),
				command.vm().value(), 0, 0, DocumentDiff.NONE, command.region().value()));
		return new Noted();
	}

	/**
	 * Returns the index of the last command that was applied.
	 * @return the index, 0 if there is none
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
	 * Finds a customer's latest change.
	 * @param customer the customer
	 * @return the change, or empty if the customer never had a contract
	 */
	public Optional<BookEntry> entry(CustomerId customer) {
		return this.table.get(customer);
	}

	/**
	 * Returns the latest change of every customer that ever had a contract.
	 * @return the changes, ascending by index
	 */
	public Collection<BookEntry> entries() {
		return List.copyOf(this.table.entries());
	}

	/**
	 * Returns a customer's accepted revisions as far as they are kept.
	 * @param customer the customer
	 * @return the revisions, ascending
	 */
	public List<RevisionRecord> revisions(CustomerId customer) {
		return history(customer).records();
	}

	/**
	 * Reads the audit trail.
	 * @param sinceMillis the earliest time of a record, in milliseconds since 1970
	 * @param customer the customer whose records are wanted; if empty, the records of all
	 * customers and VMs
	 * @return the records, ascending by index
	 */
	public List<AuditRecord> audit(long sinceMillis, Optional<CustomerId> customer) {
		Stream<AuditRecord> vmRecords = customer.isPresent() ? Stream.empty() : this.vmTrail.records().stream();
		return Stream.concat(this.contractTrail.records().stream(), vmRecords)
			.filter((record) -> record.atMillis() >= sinceMillis)
			.filter((record) -> customer.isEmpty() || customer.get().value().equals(record.subject()))
			.sorted(Comparator.comparingLong(AuditRecord::index))
			.toList();
	}

	/**
	 * Copies the whole state.
	 * @return the snapshot
	 */
	public BookSnapshot snapshot() {
		List<BookSnapshot.CustomerState> customers = new ArrayList<>();
		for (BookEntry entry : this.table.entries()) {
			customers.add(new BookSnapshot.CustomerState(entry, revisions(entry.customer()),
					this.callers.records(entry.customer())));
		}
		return new BookSnapshot(this.appliedIndex, customers, this.contractTrail.records(), this.vmTrail.records());
	}

	/**
	 * Replaces the whole state.
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
		this.contractTrail.restore(snapshot.contractRecords());
		this.vmTrail.restore(snapshot.vmRecords());
	}

	private void restore(BookSnapshot.CustomerState customer) {
		BookEntry entry = customer.entry();
		this.table.put(entry);
		this.changeIndex = Math.max(this.changeIndex, entry.index());
		this.callers.restore(entry.customer(), customer.callers());
		RevisionHistory history = new RevisionHistory(this.limits.maxHistory());
		customer.history().forEach(history::add);
		this.histories.put(entry.customer(), history);
	}

	private RevisionHistory history(CustomerId customer) {
		return this.histories.getOrDefault(customer, RevisionHistory.EMPTY);
	}

}
