package org.vanillatrestle.bench.internal.engine;

import java.util.List;

import org.vanillatrestle.bench.internal.standin.StandInPlace;
import org.vanillatrestle.bench.internal.standin.TargetPrice;
import org.vanillatrestle.bench.internal.standin.TargetProfile;

/**
 * Settings of a stand-in engine.
 * <p>
 * Immutable and thread safe.
 *
 * @param place where it listens and what it announces
 * @param timing how long it takes
 */
public record EngineSettings(StandInPlace place, EngineTiming timing) {

	private static final long PRICE_MICROS = 1000;

	/**
	 * Makes settings for a fast engine on a free port of the loopback address.
	 * @param id the target's id
	 * @param dataCentre its data centre
	 * @param service its service
	 * @param model its model
	 * @param entries the entry VMs to announce to
	 * @return the settings
	 */
	public static EngineSettings fast(String id, String dataCentre, String service, String model,
			List<String> entries) {
		EngineTiming timing = EngineTiming.FAST;
		TargetPrice capacity = new TargetPrice(timing.maxRunning(), timing.tokensPerSecond(), PRICE_MICROS, 0);
		TargetProfile profile = new TargetProfile(id, "MODEL", dataCentre, service, "", List.of(model), capacity,
				entries, "");
		return new EngineSettings(new StandInPlace("127.0.0.1", 0, profile), timing);
	}

	/**
	 * Returns the same settings with another timing.
	 * @param other the timing
	 * @return the settings
	 */
	public EngineSettings withTiming(EngineTiming other) {
		return new EngineSettings(this.place, other);
	}

}
