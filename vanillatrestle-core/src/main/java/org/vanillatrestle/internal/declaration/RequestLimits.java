package org.vanillatrestle.internal.declaration;

/**
 * Limits on the requests and connections of callers.
 * <p>
 * Immutable and thread safe.
 *
 * @param maxHeadBytes the maximum size of a request head, in bytes
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param headTimeoutMillis the maximum time to receive a request head, in milliseconds
 * @param idleTimeoutMillis the time after which a connection without a request is closed,
 * in milliseconds
 */
public record RequestLimits(int maxHeadBytes, int maxBodyBytes, long headTimeoutMillis, long idleTimeoutMillis) {
}
