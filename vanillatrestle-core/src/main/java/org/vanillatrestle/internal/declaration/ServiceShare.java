package org.vanillatrestle.internal.declaration;

import org.vanillatrestle.ServiceName;

/**
 * A service's share of a route's requests.
 * <p>
 * Immutable and thread safe.
 *
 * @param service the service
 * @param weight the share, relative to the other weights of the route; 0 or more
 */
public record ServiceShare(ServiceName service, double weight) {
}
