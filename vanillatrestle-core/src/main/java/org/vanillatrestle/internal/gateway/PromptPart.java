package org.vanillatrestle.internal.gateway;

/**
 * One part of a prompt. Requests share parts.
 * <p>
 * Immutable and thread safe.
 *
 * @param id names the part's content
 * @param tokens its length
 */
public record PromptPart(String id, int tokens) {
}
