package org.vanillatrestle.daemon.internal.gateway;

import java.util.concurrent.TimeUnit;

import org.vanillatrestle.daemon.internal.http.ConnectionListener;
import org.vanillatrestle.daemon.internal.http.HttpRoute;
import org.vanillatrestle.daemon.internal.logging.EventKind;
import org.vanillatrestle.daemon.internal.pipeline.AnswerSink;
import org.vanillatrestle.daemon.internal.pipeline.CallerRequest;
import org.vanillatrestle.daemon.protocol.CallDetails;
import org.vanillatrestle.daemon.protocol.GatewayProtocol;
import org.vanillatrestle.internal.gateway.DrainWindow;

/**
 * Passes requests on, and refuses those that may not end before the VM does.
 * <p>
 * Used only on the VM's event loop, except that any thread may start the drain.
 */
final class DrainingRoute implements HttpRoute {

	private final HttpRoute route;

	private final boolean forwarded;

	private final GatewayProtocol protocol;

	private final RequestTelemetry telemetry;

	private volatile Drain drain;

	DrainingRoute(HttpRoute route, boolean forwarded, GatewayProtocol protocol, RequestTelemetry telemetry) {
		this.route = route;
		this.forwarded = forwarded;
		this.protocol = protocol;
		this.telemetry = telemetry;
	}

	void startDrain(DrainWindow window) {
		this.drain = new Drain(window, System.nanoTime());
	}

	@Override
	public boolean matches(String path) {
		return this.route.matches(path);
	}

	@Override
	public ConnectionListener serve(CallerRequest request, AnswerSink sink) {
		Drain current = this.drain;
		if (current == null) {
			return this.route.serve(request, sink);
		}
		CallDetails details = this.protocol.readCall(request);
		long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - current.startNanos());
		if (current.window().accepts(elapsedMillis, details.deadlineMillis())) {
			return this.route.serve(request, sink);
		}
		GatewayError.SHUTTING_DOWN.respondUnsent(sink, 0, this.forwarded);
		this.telemetry.recordCompletion("none", EventKind.REFUSED, GatewayError.SHUTTING_DOWN.name(), 0);
		this.telemetry.log(EventKind.REFUSED, "request", details.requestId(), "reason",
				GatewayError.SHUTTING_DOWN.name(), "drainMillis", elapsedMillis, "leftMillis",
				details.deadlineMillis());
		return null;
	}

	private record Drain(DrainWindow window, long startNanos) {

	}

}
