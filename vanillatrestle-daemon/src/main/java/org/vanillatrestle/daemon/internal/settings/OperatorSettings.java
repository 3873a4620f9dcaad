package org.vanillatrestle.daemon.internal.settings;

/**
 * An operator that is allowed to change contracts.
 * <p>
 * Immutable and thread safe.
 *
 * @param name the operator's name, as recorded in the audit trail
 * @param keySha256 the SHA-256 of the operator's bearer key, 64 hexadecimal digits
 */
public record OperatorSettings(String name, String keySha256) {

}
