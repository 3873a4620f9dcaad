package org.vanillatrestle.internal.limits;

import org.vanillatrestle.VmId;

/**
 * A message and the VM it is for.
 * <p>
 * Immutable and thread safe.
 *
 * @param to the receiver
 * @param message the message
 */
public record AddressedLimitMessage(VmId to, LimitMessage message) {

}
