package org.vanillatrestle.internal.declaration;

/**
 * Bounds on what callers may send.
 * <p>
 * Immutable and thread safe.
 *
 * @param maxHeadBytes the longest request head
 * @param maxBodyBytes the longest request body
 * @param headTimeoutMillis the longest time for a request's head
 * @param idleTimeoutMillis how long a connection without a request is kept
 */
public record RequestLimits(int maxHeadBytes, int maxBodyBytes, long headTimeoutMillis, long idleTimeoutMillis) {
}
