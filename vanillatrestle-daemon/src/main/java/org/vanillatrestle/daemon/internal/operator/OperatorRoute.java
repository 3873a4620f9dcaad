package org.vanillatrestle.daemon.internal.operator;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executor;

import io.netty.handler.codec.http.HttpHeaderNames;
import org.vanillatrestle.daemon.internal.http.ConnectionListener;
import org.vanillatrestle.daemon.internal.http.HttpRoute;
import org.vanillatrestle.daemon.internal.pipeline.AnswerSink;
import org.vanillatrestle.daemon.internal.pipeline.BearerKeys;
import org.vanillatrestle.daemon.internal.pipeline.CallerRequest;
import org.vanillatrestle.daemon.internal.routes.AnswerWriter;

/**
 * Passes operators' HTTP requests to the {@link OperatorService}.
 * <p>
 * Confined to the VM's event loop; responses are sent on it too.
 */
public final class OperatorRoute implements HttpRoute {

	private final OperatorService service;

	private final Executor eventLoop;

	/**
	 * Creates the route.
	 * @param service handles the requests
	 * @param eventLoop runs the tasks that send responses
	 */
	public OperatorRoute(OperatorService service, Executor eventLoop) {
		this.service = service;
		this.eventLoop = eventLoop;
	}

	@Override
	public boolean matches(String path) {
		return OperatorService.serves(path);
	}

	@Override
	public ConnectionListener serve(CallerRequest request, AnswerSink sink) {
		OperatorRequest operatorRequest = new OperatorRequest(request.method(), request.path(), request.query(),
				BearerKeys.fromHeader(request.header(HttpHeaderNames.AUTHORIZATION)),
				new String(request.body(), StandardCharsets.UTF_8));
		this.service.handle(operatorRequest)
			.thenAcceptAsync((answer) -> AnswerWriter.writeJson(sink, answer.status(), answer.body()), this.eventLoop);
		return null;
	}

}
