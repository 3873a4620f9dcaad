package org.vanillatrestle.internal.declaration;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.vanillatrestle.RegionId;
import org.vanillatrestle.ServiceName;

/**
 * The complete set of routes, services and request limits that an operator declares under
 * one version number.
 * <p>
 * Immutable and thread safe. Every service that a route refers to is contained in
 * {@link #services()}, and no two routes have both the same host and the same path
 * prefix.
 *
 * @param version the version; the declaration with the highest version is in force
 * @param routes the routes
 * @param services the services by name
 * @param limits the limits on requests, empty if the declaration specifies none
 */
public record Declaration(long version, List<DeclaredRoute> routes, Map<ServiceName, DeclaredService> services,
		Optional<RequestLimits> limits) {

	public Declaration {
		routes = List.copyOf(routes);
		services = Map.copyOf(services);
	}

	/**
	 * Returns the regions that all region-restricted routes of a host have in common.
	 * @param host the host in lower case
	 * @return the regions; empty if no route of the host is restricted to regions, or if
	 * those that are have no region in common
	 */
	public Set<RegionId> commonRegionsOf(String host) {
		Set<RegionId> commonRegions = new HashSet<>();
		boolean isFirst = true;
		for (DeclaredRoute route : this.routes) {
			if (!route.host().equals(host) || route.allowedRegions().isEmpty()) {
				continue;
			}
			if (isFirst) {
				commonRegions.addAll(route.allowedRegions());
				isFirst = false;
			}
			commonRegions.retainAll(route.allowedRegions());
		}
		return commonRegions;
	}

}
