package org.vanillatrestle.internal.declaration;

import java.util.Optional;

import org.vanillatrestle.ServiceName;

/**
 * A service of a declaration.
 * <p>
 * Immutable and thread safe.
 *
 * @param name the service's name
 * @param healthPath the path of the health check on a target
 * @param maxConnections the maximum number of connections that a target accepts from all
 * VMs together
 * @param coldStartMillis the time for which a target is cold after its start, in
 * milliseconds; 0 if it is never cold
 * @param warmupRequestsPerSecond the rate of requests that a cold target can handle, in
 * requests per second
 * @param engine the properties of the model engines, empty for a plain service
 */
public record DeclaredService(ServiceName name, String healthPath, int maxConnections, long coldStartMillis,
		double warmupRequestsPerSecond, Optional<ModelEngine> engine) {
}
