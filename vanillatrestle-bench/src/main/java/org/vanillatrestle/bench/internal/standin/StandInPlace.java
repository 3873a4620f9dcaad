package org.vanillatrestle.bench.internal.standin;

/**
 * Where a stand-in target listens and what it announces.
 * <p>
 * Immutable and thread safe.
 *
 * @param host the address to listen on
 * @param port the port, 0 for a free one
 * @param profile what it announces
 */
public record StandInPlace(String host, int port, TargetProfile profile) {

}
