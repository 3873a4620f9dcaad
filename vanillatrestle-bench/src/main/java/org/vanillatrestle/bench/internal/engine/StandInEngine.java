package org.vanillatrestle.bench.internal.engine;

import java.io.IOException;

import org.vanillatrestle.bench.internal.standin.StandInControl;
import org.vanillatrestle.bench.internal.standin.StandInTarget;

/**
 * Starts stand-ins for a model engine that speaks the OpenAI form over HTTP.
 * <p>
 * Stateless and thread safe.
 */
public final class StandInEngine {

	private StandInEngine() {
	}

	/**
	 * Starts an engine.
	 * @param settings its settings
	 * @return the running engine
	 * @throws IOException if the port can't be opened
	 */
	public static StandInTarget start(EngineSettings settings) throws IOException {
		StandInControl control = new StandInControl();
		Batch batch = new Batch(settings.timing(), control.faults());
		return StandInTarget.start(settings.place(), control, () -> new EngineHandler(control, batch), batch::load,
				settings.timing().loadLagMillis());
	}

}
