package org.vanillatrestle.daemon.internal.routes;

import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.vanillatrestle.daemon.internal.http.ConnectionListener;
import org.vanillatrestle.daemon.internal.http.HttpRoute;
import org.vanillatrestle.daemon.internal.pipeline.AnswerSink;
import org.vanillatrestle.daemon.internal.pipeline.CallerRequest;

/**
 * Tells whether the daemon lives, and whether it can serve callers.
 * <p>
 * Used on the VM's event loop.
 */
public final class HealthRoute implements HttpRoute {

	private static final String LIVE = "/health/live";

	private static final String READY = "/health/ready";

	private final BooleanSupplier ready;

	public HealthRoute(BooleanSupplier ready) {
		this.ready = ready;
	}

	@Override
	public boolean matches(String path) {
		return LIVE.equals(path) || READY.equals(path);
	}

	@Override
	public ConnectionListener serve(CallerRequest request, AnswerSink sink) {
		boolean up = LIVE.equals(request.path()) || this.ready.getAsBoolean();
		Answers.json(sink, up ? 200 : 503, JsonNodeFactory.instance.objectNode().put("up", up));
		return null;
	}

}
