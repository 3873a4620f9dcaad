package org.vanillatrestle.internal.limits;

import org.vanillatrestle.VmId;

/**
 * A limit message with the VM to which it is sent.
 * <p>
 * Immutable and thread safe.
 *
 * @param to the receiving VM
 * @param message the message
 */
public record AddressedLimitMessage(VmId to, LimitMessage message) {

}
