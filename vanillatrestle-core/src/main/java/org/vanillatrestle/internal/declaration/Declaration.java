package org.vanillatrestle.internal.declaration;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.vanillatrestle.ServiceName;

/**
 * A whole set of routes, services and limits under one version number.
 * <p>
 * Immutable and thread safe. Every service that a route names is in {@link #services()},
 * and no two routes share host and prefix.
 *
 * @param version the version; the highest is in force
 * @param routes the routes
 * @param services the services by name
 * @param limits bounds on requests, empty if the declaration names none
 */
public record Declaration(long version, List<DeclaredRoute> routes, Map<ServiceName, DeclaredService> services,
		Optional<RequestLimits> limits) {

	public Declaration {
		routes = List.copyOf(routes);
		services = Map.copyOf(services);
	}

}
