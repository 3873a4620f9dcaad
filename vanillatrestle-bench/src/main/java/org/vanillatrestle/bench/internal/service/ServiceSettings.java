package org.vanillatrestle.bench.internal.service;

import java.util.List;

import org.vanillatrestle.bench.internal.standin.StandInPlace;
import org.vanillatrestle.bench.internal.standin.TargetPrice;
import org.vanillatrestle.bench.internal.standin.TargetProfile;

/**
 * Settings of a stand-in plain service.
 * <p>
 * Immutable and thread safe.
 *
 * @param place where it listens and what it announces
 * @param delayMillis how long each call takes
 * @param loadLagMillis by how much load reports lag
 */
public record ServiceSettings(StandInPlace place, long delayMillis, long loadLagMillis) {

	private static final int MAX_RUNNING = 1000;

	private static final long PRICE_MICROS = 10;

	/**
	 * Makes settings for a service without delay on a free port of the loopback address.
	 * @param id the target's id
	 * @param dataCentre its data centre
	 * @param service its service
	 * @param customer the customer it serves alone, empty for all
	 * @param entries the entry VMs to announce to
	 * @return the settings
	 */
	public static ServiceSettings fast(String id, String dataCentre, String service, String customer,
			List<String> entries) {
		TargetPrice capacity = new TargetPrice(MAX_RUNNING, 0, 0, PRICE_MICROS);
		TargetProfile profile = new TargetProfile(id, "PLAIN", dataCentre, service, customer, List.of(), capacity,
				entries, "");
		return new ServiceSettings(new StandInPlace("127.0.0.1", 0, profile), 0, 0);
	}

}
