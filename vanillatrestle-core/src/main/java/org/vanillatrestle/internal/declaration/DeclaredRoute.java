package org.vanillatrestle.internal.declaration;

import java.util.List;
import java.util.Set;

import org.vanillatrestle.RegionId;
import org.vanillatrestle.ServiceName;

/**
 * A route of a declaration.
 * <p>
 * Immutable and thread safe. The sum of the weights of the shares is greater than 0.
 *
 * @param name the route's name
 * @param host the host of the requests that the route matches, in lower case
 * @param pathPrefix the path prefix of the requests that the route matches
 * @param kind the kind, which determines whether a request may be repeated
 * @param resumable whether an interrupted stream can be resumed on another target
 * @param timeoutMillis the maximum duration of a request, in milliseconds
 * @param latencyObjectiveMillis the latency objective of a response, in milliseconds
 * @param pauseObjectiveMillis the objective for the longest pause between two events of a
 * stream, in milliseconds
 * @param priority the priority of the requests; 0 is the highest
 * @param maxAttempts the maximum number of targets that may run one request
 * @param allowedRegions the regions that may process the requests, empty if all regions
 * may
 * @param shares the services that serve the route, with their weights
 */
public record DeclaredRoute(String name, String host, String pathPrefix, RouteKind kind, boolean resumable,
		long timeoutMillis, long latencyObjectiveMillis, long pauseObjectiveMillis, int priority, int maxAttempts,
		Set<RegionId> allowedRegions, List<ServiceShare> shares) {

	public DeclaredRoute {
		allowedRegions = Set.copyOf(allowedRegions);
		shares = List.copyOf(shares);
	}

	/**
	 * Returns whether a request that may already have run may be run again.
	 * @return whether the request may be repeated
	 */
	public boolean isRepeatable() {
		return this.kind.isRepeatable(this.resumable);
	}

	public boolean isStreaming() {
		return this.kind == RouteKind.STREAMING;
	}

	/**
	 * Returns whether a region may process the requests of this route.
	 * @param region the region
	 * @return whether the region is allowed
	 */
	public boolean allows(RegionId region) {
		return this.allowedRegions.isEmpty() || this.allowedRegions.contains(region);
	}

	/**
	 * Selects the service for one request at random, in proportion to the weights.
	 * @param draw a uniformly distributed random number from 0 (inclusive) to 1
	 * (exclusive)
	 * @return the service
	 */
	public ServiceName selectService(double draw) {
		double totalWeight = this.shares.stream().mapToDouble(ServiceShare::weight).sum();
		double remainingWeight = draw * totalWeight;
		ServiceName selected = null;
		for (ServiceShare share : this.shares) {
			if (share.weight() <= 0) {
				continue;
			}
			selected = share.service();
			remainingWeight -= share.weight();
			if (remainingWeight < 0) {
				break;
			}
		}
		return selected;
	}

}
