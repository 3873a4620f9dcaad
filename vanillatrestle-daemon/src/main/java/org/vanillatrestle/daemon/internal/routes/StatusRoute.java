package org.vanillatrestle.daemon.internal.routes;

import java.util.Optional;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpHeaderNames;
import org.vanillatrestle.daemon.internal.http.ConnectionListener;
import org.vanillatrestle.daemon.internal.http.HttpRoute;
import org.vanillatrestle.daemon.internal.operator.OperatorKeys;
import org.vanillatrestle.daemon.internal.pipeline.AnswerSink;
import org.vanillatrestle.daemon.internal.pipeline.BearerKeys;
import org.vanillatrestle.daemon.internal.pipeline.CallerRequest;
import org.vanillatrestle.daemon.internal.pipeline.Refusals;

/**
 * Returns the status of this VM to an operator: {@code GET /v1/status}.
 * <p>
 * Must be called on the VM's event loop.
 */
public final class StatusRoute implements HttpRoute {

	private static final String PATH = "/v1/status";

	private final OperatorKeys operators;

	private final Supplier<ObjectNode> status;

	/**
	 * Creates the route.
	 * @param operators the keys of the operators that may read the status
	 * @param status supplies the current status
	 */
	public StatusRoute(OperatorKeys operators, Supplier<ObjectNode> status) {
		this.operators = operators;
		this.status = status;
	}

	@Override
	public boolean matches(String path) {
		return PATH.equals(path);
	}

	@Override
	public ConnectionListener serve(CallerRequest request, AnswerSink sink) {
		Optional<String> key = BearerKeys.fromHeader(request.header(HttpHeaderNames.AUTHORIZATION));
		if (key.flatMap(this.operators::operator).isEmpty()) {
			sink.refuse(Refusals.unknownOperator());
			return null;
		}
		AnswerWriter.writeJson(sink, 200, this.status.get());
		return null;
	}

}
