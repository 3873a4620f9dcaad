package org.vanillatrestle.internal.request;

import java.util.Optional;

/**
 * A ticket that leaves the queue, to be placed or to be given up.
 * <p>
 * Immutable and thread safe. A refused ticket needs no release.
 *
 * @param ticket the ticket
 * @param refusal why the request is given up, empty if it may be placed now
 */
public record ReadyTicket(Ticket ticket, Optional<Admission.Refused> refusal) {

}
