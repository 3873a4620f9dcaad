package org.vanillatrestle.internal.declaration;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.vanillatrestle.ServiceName;

/**
 * Creates declarations and routes for tests.
 */
final class Declarations {

	private Declarations() {
	}

	static DeclaredRoute routeWithWeights(double first, double second, double third) {
		return route("split", "/",
				List.of(new ServiceShare(new ServiceName("first"), first),
						new ServiceShare(new ServiceName("second"), second),
						new ServiceShare(new ServiceName("third"), third)));
	}

	static DeclaredRoute route(String name, String pathPrefix) {
		return route(name, pathPrefix, List.of(new ServiceShare(new ServiceName("first"), 1)));
	}

	private static DeclaredRoute route(String name, String pathPrefix, List<ServiceShare> shares) {
		return new DeclaredRoute(name, "a.example", pathPrefix, RouteKind.IDEMPOTENT, false, 1000, 400, 800, 0, 2,
				Set.of(), shares);
	}

	static Declaration of(DeclaredRoute... routes) {
		return new Declaration(1, List.of(routes), Map.of(), Optional.empty());
	}

}
