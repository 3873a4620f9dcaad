package org.vanillatrestle.bench.internal.experiment;

import org.vanillatrestle.Verdict;

/**
 * Passes a job's progress on to its flight. Not thread safe.
 */
final class FlightListener implements Job.Listener {

	private final Flight flight;

	FlightListener(Flight flight) {
		this.flight = flight;
	}

	@Override
	public void first(boolean prefixHit) {
		this.flight.first(prefixHit);
	}

	@Override
	public void done(int tokens) {
		this.flight.answered(tokens);
	}

	@Override
	public void failed(Verdict verdict, boolean refused) {
		this.flight.attemptFailed(verdict, refused);
	}

}
