package org.vanillatrestle.internal.declaration;

/**
 * What a declaration says of a service's model engines.
 * <p>
 * Immutable and thread safe.
 *
 * @param slots the requests that one engine runs at the same time
 * @param cacheTokens the tokens that fit into the memory of one engine
 */
public record ModelEngine(int slots, long cacheTokens) {
}
