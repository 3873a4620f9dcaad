package org.vanillatrestle.daemon.internal.routes;

import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.vanillatrestle.daemon.internal.http.ConnectionListener;
import org.vanillatrestle.daemon.internal.http.HttpRoute;
import org.vanillatrestle.daemon.internal.pipeline.AnswerSink;
import org.vanillatrestle.daemon.internal.pipeline.CallerRequest;

/**
 * Reports whether the daemon is alive and whether it is ready to serve callers.
 * <p>
 * Must be called on the VM's event loop.
 */
public final class HealthRoute implements HttpRoute {

	private static final String LIVE_PATH = "/health/live";

	private static final String READY_PATH = "/health/ready";

	private final BooleanSupplier ready;

	public HealthRoute(BooleanSupplier ready) {
		this.ready = ready;
	}

	@Override
	public boolean matches(String path) {
		return LIVE_PATH.equals(path) || READY_PATH.equals(path);
	}

	@Override
	public ConnectionListener serve(CallerRequest request, AnswerSink sink) {
		boolean up = LIVE_PATH.equals(request.path()) || this.ready.getAsBoolean();
		AnswerWriter.writeJson(sink, up ? 200 : 503, JsonNodeFactory.instance.objectNode().put("up", up));
		return null;
	}

}
