package org.vanillatrestle.daemon;

import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.VmId;
import org.vanillatrestle.daemon.internal.settings.HostAndPort;

/**
 * Settings of a VM of a declared deployment. They name no other VM except the seeds.
 * <p>
 * Immutable and thread safe.
 *
 * @param vm the id of this VM
 * @param role its role
 * @param region its region
 * @param dataCentre its data centre
 * @param regions the region of each data centre
 * @param host the IP address for its links to other VMs
 * @param listen the addresses at which it listens
 * @param seeds the peer addresses of some control VMs
 * @param founding whether the deployment starts for the first time, with empty disks
 * @param dataFolder the folder in which a control VM stores its replica, empty for an
 * entry VM
 * @param bounds the limits of the deployment
 */
public record GatewaySettings(VmId vm, GatewayRole role, RegionId region, DataCentreId dataCentre,
		Map<DataCentreId, RegionId> regions, String host, Listen listen, List<HostAndPort> seeds, boolean founding,
		Optional<Path> dataFolder, Bounds bounds) {

	public GatewaySettings {
		regions = Map.copyOf(regions);
		seeds = List.copyOf(seeds);
	}

	/**
	 * Returns the region of a data centre.
	 * @param dataCentre the data centre
	 * @return its region, empty if the settings don't name it
	 */
	public Optional<RegionId> regionOf(DataCentreId dataCentre) {
		return Optional.ofNullable(this.regions.get(dataCentre));
	}

	/**
	 * The addresses at which a VM listens.
	 *
	 * @param front address for callers' requests, empty for a control VM
	 * @param health address for the platform's readiness checks, empty if there are none
	 * @param control address for operators and targets, empty for an entry VM
	 * @param directory address for directory look-ups by callers, empty for an entry VM
	 * @param peerPort TCP port for links between VMs
	 * @param forwardPort TCP port for requests that other VMs forward
	 * @param metricsPort TCP port for metrics
	 */
	public record Listen(Optional<HostAndPort> front, Optional<HostAndPort> health, Optional<HostAndPort> control,
			Optional<HostAndPort> directory, int peerPort, int forwardPort, int metricsPort) {

		/**
		 * Returns the addresses that serve operators, targets, directory look-ups and
		 * readiness checks.
		 * @return the addresses without duplicates
		 */
		public Set<HostAndPort> controlCalls() {
			Set<HostAndPort> addresses = new LinkedHashSet<>();
			this.health.ifPresent(addresses::add);
			this.control.ifPresent(addresses::add);
			this.directory.ifPresent(addresses::add);
			return addresses;
		}

	}

	/**
	 * The limits of a deployment.
	 *
	 * @param lostVms the number of control VMs that may be lost at the same time
	 * @param retryRatio the number of retries allowed for each request
	 * @param retryAllowance the number of retries allowed in addition, for all VMs
	 * together
	 * @param retryWindowMillis the window of both retry limits, in milliseconds
	 * @param coldFactor the factor by which the limit of a cold target is multiplied
	 * @param coldSlack the number of requests to a cold target allowed in addition
	 * @param graceMillis the time in milliseconds from SIGTERM to the end of the process
	 * @param directoryTtlSeconds the maximum time in seconds for which a directory answer
	 * is valid
	 */
	public record Bounds(int lostVms, double retryRatio, double retryAllowance, long retryWindowMillis,
			double coldFactor, double coldSlack, long graceMillis, double directoryTtlSeconds) {
	}

}
