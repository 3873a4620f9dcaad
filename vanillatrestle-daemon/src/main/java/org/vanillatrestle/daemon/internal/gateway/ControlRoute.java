package org.vanillatrestle.daemon.internal.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.vanillatrestle.daemon.internal.http.ConnectionListener;
import org.vanillatrestle.daemon.internal.http.HttpRoute;
import org.vanillatrestle.daemon.internal.logging.EventKind;
import org.vanillatrestle.daemon.internal.logging.EventLog;
import org.vanillatrestle.daemon.internal.pipeline.AnswerHead;
import org.vanillatrestle.daemon.internal.pipeline.AnswerSink;
import org.vanillatrestle.daemon.internal.pipeline.CallerRequest;
import org.vanillatrestle.daemon.protocol.ControlCall;
import org.vanillatrestle.daemon.protocol.GatewayProtocol;
import org.vanillatrestle.internal.declaration.DeclarationCommand;
import org.vanillatrestle.internal.declaration.DeclaredState;
import org.vanillatrestle.internal.fleet.TargetCondition;

/**
 * Answers operators, targets, directory look-ups and the platform's checks.
 * <p>
 * Used on the VM's event loop.
 */
public final class ControlRoute implements HttpRoute {

	private static final byte[] EMPTY_OBJECT = "{}".getBytes(StandardCharsets.US_ASCII);

	private final GatewayProtocol protocol;

	private final BooleanSupplier ready;

	private final Optional<ControlOperations> port;

	private final Executor loop;

	/**
	 * Creates the route.
	 * @param protocol the platform's interfaces
	 * @param ready whether this VM takes requests
	 * @param port what carries out calls, empty for an entry VM
	 * @param loop the VM's event loop
	 */
	public ControlRoute(GatewayProtocol protocol, BooleanSupplier ready, Optional<ControlOperations> port,
			Executor loop) {
		this.protocol = protocol;
		this.ready = ready;
		this.port = port;
		this.loop = loop;
	}

	@Override
	public boolean matches(String path) {
		return true;
	}

	@Override
	public ConnectionListener serve(CallerRequest request, AnswerSink sink) {
		ControlCall call = this.protocol.readControlCall(request);
		if (call instanceof ControlCall.Readiness) {
			answer(sink, this.ready.getAsBoolean() ? 200 : 503, EMPTY_OBJECT);
		}
		else if (call instanceof ControlCall.Unreadable unreadable) {
			EventLog.write(EventKind.REPORT_REFUSED, "path", request.path(), "reason", unreadable.reason());
			answer(sink, 400, message(unreadable.reason()));
		}
		else if (call instanceof ControlCall.Unknown || this.port.isEmpty()) {
			answer(sink, 404, message("this VM does not serve the path"));
		}
		else {
			serve(call, this.port.get(), sink);
		}
		return null;
	}

	private void serve(ControlCall call, ControlOperations control, AnswerSink sink) {
		if (call instanceof ControlCall.Resolve resolve) {
			Optional<byte[]> directory = control.resolve(resolve);
			control.metrics().countResponse("lookups", directory.isPresent());
			answer(sink, directory.isPresent() ? 200 : 503, directory.orElse(EMPTY_OBJECT));
		}
		else if (call instanceof ControlCall.Report report) {
			boolean leaving = report.report().condition() != TargetCondition.READY;
			control.report(report.report());
			boolean acknowledged = !leaving || control.isConnectedToMajority();
			control.metrics().countResponse("reports", acknowledged);
			answer(sink, acknowledged ? 200 : 503, EMPTY_OBJECT);
		}
		else if (call instanceof ControlCall.Leave leave) {
			control.leave(leave.target());
			boolean acknowledged = control.isConnectedToMajority();
			control.metrics().countResponse("leaves", acknowledged);
			answer(sink, acknowledged ? 200 : 503, EMPTY_OBJECT);
		}
		else if (call instanceof ControlCall.Declare declare) {
			long version = declare.declaration().version();
			answerOrder(control.propose(new DeclarationCommand.Declare(version, declare.document())), "declare",
					"declare " + version, control, sink);
		}
		else if (call instanceof ControlCall.Evacuate evacuate) {
			answerOrder(control.propose(new DeclarationCommand.Evacuate(evacuate.dataCentre(), evacuate.evacuated())),
					"evacuate", (evacuate.evacuated() ? "evacuate " : "end evacuation of ") + evacuate.dataCentre(),
					control, sink);
		}
		else if (call instanceof ControlCall.ReadDeclaration) {
			long began = System.nanoTime();
			control.read().whenCompleteAsync((state, failure) -> {
				boolean known = failure == null && state.isPresent();
				control.metrics().recordOperatorCall("read", known, System.nanoTime() - began);
				answerRead(known ? state : Optional.empty(), sink);
			}, this.loop);
		}
	}

	private void answerOrder(CompletableFuture<Optional<DeclaredState>> outcome, String kind, String order,
			ControlOperations control, AnswerSink sink) {
		long began = System.nanoTime();
		outcome.whenCompleteAsync((state, failure) -> {
			boolean done = failure == null && state.isPresent();
			control.metrics().recordOperatorCall(kind, done, System.nanoTime() - began);
			EventLog.write(EventKind.OPERATOR_CALL, "order", order, "done", done, "index",
					done ? state.get().index() : null, "millis", (System.nanoTime() - began) / 1_000_000);
			answer(sink, done ? 200 : 503, EMPTY_OBJECT);
		}, this.loop);
	}

	private static void answerRead(Optional<DeclaredState> state, AnswerSink sink) {
		boolean known = state.isPresent();
		EventLog.write(EventKind.OPERATOR_CALL, "order", "read", "done", known, "version",
				known ? state.get().version() : null);
		if (known && state.get().isDeclared()) {
			answer(sink, 200, state.get().document());
			return;
		}
		answer(sink, known ? 404 : 503, message("the latest declaration can't be told now"));
	}

	private static byte[] message(String text) {
		return JsonNodeFactory.instance.objectNode().put("message", text).toString().getBytes(StandardCharsets.UTF_8);
	}

	private static void answer(AnswerSink sink, int status, byte[] body) {
		HttpHeaders headers = new DefaultHttpHeaders();
		headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
		sink.whole(new AnswerHead(status, headers), body);
	}

}
