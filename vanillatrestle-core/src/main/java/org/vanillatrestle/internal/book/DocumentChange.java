package org.vanillatrestle.internal.book;

/**
 * One difference between two revisions of a document.
 * <p>
 * Immutable and thread safe.
 *
 * @param path where the difference is, items of lists being named by their {@code name}
 * @param before the JSON before, empty if there was none, shortened if long
 * @param after the JSON after, empty if there is none, shortened if long
 */
public record DocumentChange(String path, String before, String after) {

}
