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
 * Settings of a VM of a declared deployment, which knows no other VM but its seeds.
 * <p>
 * Immutable and thread safe.
 *
 * @param vm this VM
 * @param role what it does
 * @param region its region
 * @param dataCentre its data centre
 * @param regions the region of each data centre
 * @param host the IP address of its links to other VMs
 * @param listen where it listens
 * @param seeds the peer links of a few control VMs
 * @param founding whether the deployment starts for the first time, with empty disks
 * @param dataFolder where a control VM keeps its replica, empty for an entry VM
 * @param bounds what the deployment allows
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
	 * @param front callers' requests, empty for a control VM
	 * @param health the platform's readiness checks, empty if there are none
	 * @param control operators and targets, empty for an entry VM
	 * @param directory callers that ask where to connect, empty for an entry VM
	 * @param peerPort links between VMs
	 * @param forwardPort requests from other VMs
	 * @param metricsPort metrics
	 */
	public record Listen(Optional<HostAndPort> front, Optional<HostAndPort> health, Optional<HostAndPort> control,
			Optional<HostAndPort> directory, int peerPort, int forwardPort, int metricsPort) {

		/**
		 * The addresses that answer operators, targets, directory look-ups and checks.
		 * @return the addresses without repeats
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
	 * What a deployment allows.
	 *
	 * @param lostVms the control VMs that may be lost at the same time
	 * @param retryRatio the repeats for each request
	 * @param retryAllowance the repeats besides, all VMs together
	 * @param retryWindowMillis the window of both
	 * @param coldFactor what a cold target's bound is multiplied by
	 * @param coldSlack the requests to a cold target allowed besides
	 * @param graceMillis from SIGTERM to the end of the process
	 * @param directoryTtlSeconds the longest time that a directory answer holds
	 */
	public record Bounds(int lostVms, double retryRatio, double retryAllowance, long retryWindowMillis,
			double coldFactor, double coldSlack, long graceMillis, double directoryTtlSeconds) {
	}

}
