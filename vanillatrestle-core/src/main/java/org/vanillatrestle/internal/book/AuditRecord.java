package org.vanillatrestle.internal.book;

/**
 * One record of the audit trail.
 * <p>
 * Immutable and thread safe.
 *
 * @param index the index of the command in the replicated log
 * @param atMillis the time at which the command was proposed, in milliseconds since 1970
 * @param event the kind of event
 * @param actor the name of the operator, or of the VM that reported the event
 * @param subject the name of the customer or VM concerned
 * @param fromRevision the revision that was in force before, 0 if there was none
 * @param toRevision the requested revision, 0 if unknown
 * @param diff the differences made by the change; empty unless it was accepted
 * @param detail why a change was refused, or the region of the VM
 */
public record AuditRecord(long index, long atMillis, AuditEvent event, String actor, String subject, long fromRevision,
		long toRevision, DocumentDiff diff, String detail) {

}
