package org.vanillatrestle.internal.fleet;

import org.vanillatrestle.ServiceName;

/**
 * How soon a VM could serve one more request of a service.
 * <p>
 * Immutable and thread safe.
 *
 * @param service the service
 * @param waitMillis the estimated time until the answer begins, -1 if it has no target
 * with room
 * @param readingPercent how much of the time its least busy target reads prompts, 0 for a
 * plain service
 */
public record ServiceWait(ServiceName service, long waitMillis, int readingPercent) {
}
