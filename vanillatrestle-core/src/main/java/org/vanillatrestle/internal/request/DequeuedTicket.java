package org.vanillatrestle.internal.request;

import java.util.Optional;

/**
 * A ticket that was removed from the queue because its request may be placed or is
 * refused.
 * <p>
 * Immutable and thread safe. A refused ticket needs no release.
 *
 * @param ticket the ticket
 * @param refusal the refusal of the request, empty if the request may be placed now
 */
public record DequeuedTicket(Ticket ticket, Optional<Admission.Refused> refusal) {

}
