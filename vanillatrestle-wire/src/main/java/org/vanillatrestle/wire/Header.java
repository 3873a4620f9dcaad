package org.vanillatrestle.wire;

/**
 * A header of a forwarded request or its answer.
 * <p>
 * Immutable and thread safe.
 *
 * @param name the header's name
 * @param value the header's value
 */
public record Header(String name, String value) {

}
