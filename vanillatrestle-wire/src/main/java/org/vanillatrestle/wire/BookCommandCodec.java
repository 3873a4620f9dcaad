package org.vanillatrestle.wire;

import java.util.Optional;

import org.vanillatrestle.Contract;
import org.vanillatrestle.Contracts;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.InvalidDocumentException;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.book.AuditEvent;
import org.vanillatrestle.internal.book.BookCommand;
import org.vanillatrestle.internal.book.BookOutcome;
import org.vanillatrestle.wire.generated.state.ApplyContract;
import org.vanillatrestle.wire.generated.state.AuditEventCode;
import org.vanillatrestle.wire.generated.state.BookCommandMessage;
import org.vanillatrestle.wire.generated.state.BookOutcomeMessage;
import org.vanillatrestle.wire.generated.state.ConflictingRevision;
import org.vanillatrestle.wire.generated.state.Empty;
import org.vanillatrestle.wire.generated.state.IndexedRevision;
import org.vanillatrestle.wire.generated.state.InvalidDocument;
import org.vanillatrestle.wire.generated.state.NoteVmEvent;
import org.vanillatrestle.wire.generated.state.RemoveContract;

/**
 * Writes and reads commands of the contract book and their outcomes.
 * <p>
 * Stateless and thread safe.
 */
public final class BookCommandCodec {

	private static final String AUDIT_PREFIX = "AUDIT_";

	private BookCommandCodec() {
	}

	/**
	 * Writes a command.
	 * @param command the command
	 * @return the bytes
	 */
	public static byte[] encode(BookCommand command) {
		BookCommandMessage.Builder message = BookCommandMessage.newBuilder();
		if (command instanceof BookCommand.Apply apply) {
			message.setApply(ApplyContract.newBuilder()
				.setOperator(apply.operator())
				.setCustomer(apply.customer().value())
				.setDocument(apply.document())
				.setProposedAtMillis(apply.proposedAtMillis()));
		}
		else if (command instanceof BookCommand.Remove remove) {
			message.setRemove(RemoveContract.newBuilder()
				.setOperator(remove.operator())
				.setCustomer(remove.customer().value())
				.setRevision(remove.revision())
				.setProposedAtMillis(remove.proposedAtMillis()));
		}
		else if (command instanceof BookCommand.RecordVmEvent note) {
			message.setNoteVm(NoteVmEvent.newBuilder()
				.setReporter(note.reporter().value())
				.setVm(note.vm().value())
				.setRegion(note.region().value())
				.setEvent(toCode(note.event()))
				.setProposedAtMillis(note.proposedAtMillis()));
		}
		return message.build().toByteArray();
	}

	/**
	 * Reads a command.
	 * @param bytes the bytes
	 * @return the command
	 * @throws MalformedStateException if the bytes are no command
	 */
	public static BookCommand decodeCommand(byte[] bytes) throws MalformedStateException {
		return StateDecoder.decode(bytes, BookCommandMessage.parser(), BookCommandCodec::read);
	}

	private static BookCommand read(BookCommandMessage message) {
		return switch (message.getCommandCase()) {
			case APPLY -> read(message.getApply());
			case REMOVE -> read(message.getRemove());
			case NOTE_VM -> read(message.getNoteVm());
			default -> throw StateDecoder.unknown("book command");
		};
	}

	private static BookCommand read(ApplyContract message) {
		return new BookCommand.Apply(message.getOperator(), new CustomerId(message.getCustomer()),
				message.getDocument(), message.getProposedAtMillis());
	}

	private static BookCommand read(RemoveContract message) {
		return new BookCommand.Remove(message.getOperator(), new CustomerId(message.getCustomer()),
				message.getRevision(), message.getProposedAtMillis());
	}

	private static BookCommand read(NoteVmEvent message) {
		return new BookCommand.RecordVmEvent(new VmId(message.getReporter()), new VmId(message.getVm()),
				new RegionId(message.getRegion()), fromCode(message.getEvent()), message.getProposedAtMillis());
	}

	static AuditEventCode toCode(AuditEvent event) {
		return AuditEventCode.valueOf(AUDIT_PREFIX + event.name());
	}

	static AuditEvent fromCode(AuditEventCode code) {
		String name = code.name();
		return AuditEvent.valueOf(name.startsWith(AUDIT_PREFIX) ? name.substring(AUDIT_PREFIX.length()) : name);
	}

	/**
	 * Writes an outcome.
	 * @param outcome the outcome
	 * @return the bytes
	 */
	public static byte[] encode(BookOutcome outcome) {
		BookOutcomeMessage.Builder message = BookOutcomeMessage.newBuilder();
		if (outcome instanceof BookOutcome.Accepted accepted) {
			message.setAccepted(indexed(accepted.index(), accepted.revision()));
		}
		else if (outcome instanceof BookOutcome.Repeated repeated) {
			message.setRepeated(indexed(repeated.index(), repeated.revision()));
		}
		else if (outcome instanceof BookOutcome.Conflict conflict) {
			message.setConflict(ConflictingRevision.newBuilder()
				.setRevision(conflict.revision())
				.setInForce(conflict.inForce().map(Contracts::write).orElse(""))
				.setReason(conflict.reason()));
		}
		else if (outcome instanceof BookOutcome.Invalid invalid) {
			message.setInvalid(InvalidDocument.newBuilder().setPath(invalid.path()).setReason(invalid.reason()));
		}
		else {
			message.setNoted(Empty.getDefaultInstance());
		}
		return message.build().toByteArray();
	}

	private static IndexedRevision indexed(long index, long revision) {
		return IndexedRevision.newBuilder().setIndex(index).setRevision(revision).build();
	}

	/**
	 * Reads an outcome.
	 * @param bytes the bytes
	 * @return the outcome
	 * @throws MalformedStateException if the bytes are no outcome
	 */
	public static BookOutcome decodeOutcome(byte[] bytes) throws MalformedStateException {
		return StateDecoder.decode(bytes, BookOutcomeMessage.parser(), BookCommandCodec::read);
	}

	private static BookOutcome read(BookOutcomeMessage message) throws InvalidDocumentException {
		return switch (message.getOutcomeCase()) {
			case ACCEPTED ->
				new BookOutcome.Accepted(message.getAccepted().getIndex(), message.getAccepted().getRevision());
			case REPEATED ->
				new BookOutcome.Repeated(message.getRepeated().getIndex(), message.getRepeated().getRevision());
			case CONFLICT -> new BookOutcome.Conflict(message.getConflict().getRevision(),
					readDocument(message.getConflict().getInForce()), message.getConflict().getReason());
			case INVALID -> new BookOutcome.Invalid(message.getInvalid().getPath(), message.getInvalid().getReason());
			case NOTED -> new BookOutcome.VmEventRecorded();
			default -> throw StateDecoder.unknown("book outcome");
		};
	}

	static Optional<Contract> readDocument(String document) throws InvalidDocumentException {
		return document.isEmpty() ? Optional.empty() : Optional.of(Contracts.parse(document));
	}

}
