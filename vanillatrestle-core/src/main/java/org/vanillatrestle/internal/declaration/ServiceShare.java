package org.vanillatrestle.internal.declaration;

import org.vanillatrestle.ServiceName;

/**
 * The share of a route's requests that a service receives.
 * <p>
 * Immutable and thread safe.
 *
 * @param service the service
 * @param weight the share relative to the other weights of the route, at least 0
 */
public record ServiceShare(ServiceName service, double weight) {
}
