package org.vanillatrestle.internal.declaration;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.vanillatrestle.RegionId;
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

	/**
	 * The regions that all routes of a host allow.
	 * @param host the host in lower case
	 * @return the regions, empty if no route of the host is bound to any or none suits
	 * all
	 */
	public Set<RegionId> homesOf(String host) {
		Set<RegionId> homes = new HashSet<>();
		boolean first = true;
		for (DeclaredRoute route : this.routes) {
			if (!route.host().equals(host) || route.homes().isEmpty()) {
				continue;
			}
			if (first) {
				homes.addAll(route.homes());
				first = false;
			}
			homes.retainAll(route.homes());
		}
		return homes;
	}

}
