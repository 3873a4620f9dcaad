package org.vanillatrestle.internal.fleet;

import org.vanillatrestle.ServiceName;

/**
 * The estimated wait of one more request for a service at a VM.
 * <p>
 * Immutable and thread safe.
 *
 * @param service the service
 * @param waitMillis the estimated time until the answer starts, in milliseconds; -1 if no
 * target has free capacity
 * @param promptProcessingPercent the percentage of time that the least busy target spends
 * on processing prompts, 0 for a plain service
 */
public record ServiceWait(ServiceName service, long waitMillis, int promptProcessingPercent) {
}
