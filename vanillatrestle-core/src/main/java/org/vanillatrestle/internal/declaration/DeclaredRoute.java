package org.vanillatrestle.internal.declaration;

import java.util.List;
import java.util.Set;

import org.vanillatrestle.RegionId;
import org.vanillatrestle.ServiceName;

/**
 * One route of a declaration.
 * <p>
 * Immutable and thread safe. The weights of the shares add up to more than 0.
 *
 * @param name the route's name
 * @param host the host of its requests, in lower case
 * @param pathPrefix how the paths of its requests begin
 * @param kind what may be repeated
 * @param resumable whether a broken stream may go on at another target
 * @param timeoutMillis the longest time that a request may take
 * @param objectiveMillis the time within which an answer is wanted
 * @param pauseObjectiveMillis the longest pause wanted between two events of a stream
 * @param priority the rank of its requests, 0 for the most urgent
 * @param maxAttempts the most targets that may run one request
 * @param homes the regions allowed to process its requests, empty for all
 * @param shares the services that serve it
 */
public record DeclaredRoute(String name, String host, String pathPrefix, RouteKind kind, boolean resumable,
		long timeoutMillis, long objectiveMillis, long pauseObjectiveMillis, int priority, int maxAttempts,
		Set<RegionId> homes, List<ServiceShare> shares) {

	public DeclaredRoute {
		homes = Set.copyOf(homes);
		shares = List.copyOf(shares);
	}

	/**
	 * Tells whether a request that may have run may run again.
	 * @return whether a repeat is allowed
	 */
	public boolean isRepeatable() {
		return this.kind.isRepeatable(this.resumable);
	}

	public boolean isStreaming() {
		return this.kind == RouteKind.STREAMING;
	}

	/**
	 * Tells whether a region may process the route's requests.
	 * @param region the region
	 * @return whether it may
	 */
	public boolean allows(RegionId region) {
		return this.homes.isEmpty() || this.homes.contains(region);
	}

	/**
	 * Picks the service of one request by the weights.
	 * @param draw an even draw from 0 (included) to 1 (excluded)
	 * @return the service
	 */
	public ServiceName pickService(double draw) {
		double total = this.shares.stream().mapToDouble(ServiceShare::weight).sum();
		double left = draw * total;
		ServiceName picked = null;
		for (ServiceShare share : this.shares) {
			if (share.weight() <= 0) {
				continue;
			}
			picked = share.service();
			left -= share.weight();
			if (left < 0) {
				break;
			}
		}
		return picked;
	}

}
