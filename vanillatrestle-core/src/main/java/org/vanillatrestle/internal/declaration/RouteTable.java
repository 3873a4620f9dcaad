package org.vanillatrestle.internal.declaration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the route of a request: among the routes of the request's host, the one with the
 * longest matching path prefix.
 * <p>
 * Immutable and thread safe.
 */
public final class RouteTable {

	private final Map<String, List<DeclaredRoute>> routesByHost = new HashMap<>();

	/**
	 * Creates the table.
	 * @param declaration the declaration that contains the routes
	 */
	public RouteTable(Declaration declaration) {
		for (DeclaredRoute route : declaration.routes()) {
			this.routesByHost.computeIfAbsent(route.host(), (host) -> new ArrayList<>()).add(route);
		}
		Comparator<DeclaredRoute> longestPrefixFirst = Comparator
			.comparingInt((DeclaredRoute route) -> -route.pathPrefix().length());
		this.routesByHost.values().forEach((routes) -> routes.sort(longestPrefixFirst));
	}

	/**
	 * Finds the route of a request.
	 * @param host the host as sent by the caller, with or without a port; may be
	 * {@code null}
	 * @param path the path without the query
	 * @return the route, or empty if none matches
	 */
	public Optional<DeclaredRoute> find(String host, String path) {
		if (host == null) {
			return Optional.empty();
		}
		int colon = host.lastIndexOf(':');
		String hostName = ((colon < 0) ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
		return this.routesByHost.getOrDefault(hostName, List.of())
			.stream()
			.filter((route) -> path.startsWith(route.pathPrefix()))
			.findFirst();
	}

}
