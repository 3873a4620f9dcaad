package org.vanillatrestle.internal.book;

/**
 * One difference between two revisions of a document.
 * <p>
 * Immutable and thread safe.
 *
 * @param path the path of the difference; a list item is identified by its {@code name}
 * @param before the earlier JSON value, empty if there was none, truncated if long
 * @param after the later JSON value, empty if there is none, truncated if long
 */
public record DocumentChange(String path, String before, String after) {

}
