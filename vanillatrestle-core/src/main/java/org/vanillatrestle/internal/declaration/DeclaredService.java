package org.vanillatrestle.internal.declaration;

import java.util.Optional;

import org.vanillatrestle.ServiceName;

/**
 * One service of a declaration.
 * <p>
 * Immutable and thread safe.
 *
 * @param name the service's name
 * @param healthPath the path of a target's health check
 * @param maxConnections the most connections that a target accepts from all VMs together
 * @param coldStartMillis how long a target stays cold after its start, 0 if never
 * @param warmupPerSecond the requests a second that a cold target tolerates
 * @param engine what is said of model engines, empty for a plain service
 */
public record DeclaredService(ServiceName name, String healthPath, int maxConnections, long coldStartMillis,
		double warmupPerSecond, Optional<ModelEngine> engine) {
}
