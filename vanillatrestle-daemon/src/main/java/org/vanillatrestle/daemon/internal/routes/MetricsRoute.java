package org.vanillatrestle.daemon.internal.routes;

import java.util.function.Supplier;

import org.vanillatrestle.daemon.internal.http.ConnectionListener;
import org.vanillatrestle.daemon.internal.http.HttpRoute;
import org.vanillatrestle.daemon.internal.pipeline.AnswerSink;
import org.vanillatrestle.daemon.internal.pipeline.CallerRequest;

/**
 * Returns the metrics in the Prometheus text format: {@code GET /metrics}.
 * <p>
 * Must be called on the VM's event loop.
 */
public final class MetricsRoute implements HttpRoute {

	private static final String PATH = "/metrics";

	private static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

	private final Supplier<String> scrape;

	public MetricsRoute(Supplier<String> scrape) {
		this.scrape = scrape;
	}

	@Override
	public boolean matches(String path) {
		return PATH.equals(path);
	}

	@Override
	public ConnectionListener serve(CallerRequest request, AnswerSink sink) {
		AnswerWriter.writeText(sink, 200, CONTENT_TYPE, this.scrape.get());
		return null;
	}

}
