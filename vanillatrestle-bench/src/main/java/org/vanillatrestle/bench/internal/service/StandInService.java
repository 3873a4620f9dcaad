package org.vanillatrestle.bench.internal.service;

import java.io.IOException;

import org.vanillatrestle.bench.internal.standin.StandInControl;
import org.vanillatrestle.bench.internal.standin.StandInTarget;

/**
 * Starts stand-ins for a plain service with balances, payouts and submissions.
 * <p>
 * Stateless and thread safe. The service does not recognise a key that comes again: each
 * request that reaches it is one more run, which the run log shows.
 */
public final class StandInService {

	private StandInService() {
	}

	/**
	 * Starts a service.
	 * @param settings its settings
	 * @return the running service
	 * @throws IOException if the port can't be opened
	 */
	public static StandInTarget start(ServiceSettings settings) throws IOException {
		StandInControl control = new StandInControl();
		Ledger ledger = new Ledger();
		String prefix = "/" + settings.place().profile().service();
		return StandInTarget.start(settings.place(), control,
				() -> new ServiceHandler(control, ledger, prefix, settings.delayMillis()), ledger::load,
				settings.loadLagMillis());
	}

}
