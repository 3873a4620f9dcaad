package org.vanillatrestle.internal.gateway;

/**
 * One part of a prompt, which several requests may have in common.
 * <p>
 * Immutable and thread safe.
 *
 * @param id identifies the content of the part
 * @param tokens the length of the part in tokens
 */
public record PromptPart(String id, int tokens) {
}
