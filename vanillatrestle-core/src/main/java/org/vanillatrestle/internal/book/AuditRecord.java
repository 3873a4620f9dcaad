package org.vanillatrestle.internal.book;

/**
 * One line of the audit trail.
 * <p>
 * Immutable and thread safe.
 *
 * @param index the index of the command in the replicated log
 * @param atMillis when the command was proposed, in milliseconds since 1970
 * @param event what happened
 * @param actor the operator's name, or the VM that reported
 * @param subject the customer or the VM concerned
 * @param fromRevision the revision that was in force, 0 if none
 * @param toRevision the revision that was asked for, 0 if unknown
 * @param diff what the change altered; empty unless it was accepted
 * @param detail why the change was refused, or the VM's region
 */
public record AuditRecord(long index, long atMillis, AuditEvent event, String actor, String subject, long fromRevision,
		long toRevision, DocumentDiff diff, String detail) {

}
