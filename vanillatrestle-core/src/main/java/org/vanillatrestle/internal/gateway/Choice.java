package org.vanillatrestle.internal.gateway;

/**
 * A target that was chosen for a request.
 * <p>
 * Not thread safe.
 *
 * @param target the target
 * @param waitMillis the estimated time until the answer begins
 * @param unreadTokens the prompt tokens that the target has to read
 */
public record Choice(GatewayTarget target, long waitMillis, long unreadTokens) {
}
