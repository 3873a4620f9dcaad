package org.vanillatrestle.internal.declaration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the route of a request: that of its host with the longest prefix of its path.
 * <p>
 * Immutable and thread safe.
 */
public final class RouteTable {

	private final Map<String, List<DeclaredRoute>> byHost = new HashMap<>();

	/**
	 * Creates a table.
	 * @param declaration the routes
	 */
	public RouteTable(Declaration declaration) {
		for (DeclaredRoute route : declaration.routes()) {
			this.byHost.computeIfAbsent(route.host(), (host) -> new ArrayList<>()).add(route);
		}
		Comparator<DeclaredRoute> longestFirst = Comparator
			.comparingInt((DeclaredRoute route) -> -route.pathPrefix().length());
		this.byHost.values().forEach((routes) -> routes.sort(longestFirst));
	}

	/**
	 * Finds a route.
	 * @param host the host as the caller sent it, with or without a port
	 * @param path the path without a query
	 * @return the route, empty if none matches
	 */
	public Optional<DeclaredRoute> find(String host, String path) {
		if (host == null) {
			return Optional.empty();
		}
		int colon = host.lastIndexOf(':');
		String name = ((colon < 0) ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
		return this.byHost.getOrDefault(name, List.of())
			.stream()
			.filter((route) -> path.startsWith(route.pathPrefix()))
			.findFirst();
	}

}
