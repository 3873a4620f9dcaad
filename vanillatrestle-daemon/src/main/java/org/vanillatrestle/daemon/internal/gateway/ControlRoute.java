package org.vanillatrestle.daemon.internal.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.netty.channel.EventLoop;
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
 * Handles calls by operators and targets, directory look-ups and the platform's readiness
 * checks.
 * <p>
 * Used only on the VM's event loop.
 */
public final class ControlRoute implements HttpRoute {

	private static final byte[] EMPTY_OBJECT = "{}".getBytes(StandardCharsets.US_ASCII);

	private final GatewayProtocol protocol;

	private final BooleanSupplier ready;

	private final Optional<ControlOperations> operations;

	private final EventLoop loop;

	private final LoopStallMonitor stalls = new LoopStallMonitor(System::nanoTime);

	/**
	 * Creates the route.
	 * @param protocol reads and writes the platform's message formats
	 * @param ready tells whether this VM accepts requests
	 * @param operations carries out the calls, empty for an entry VM
	 * @param loop the VM's event loop
	 */
	public ControlRoute(GatewayProtocol protocol, BooleanSupplier ready, Optional<ControlOperations> operations,
			EventLoop loop) {
		this.protocol = protocol;
		this.ready = ready;
		this.operations = operations;
		this.loop = loop;
		operations.ifPresent((present) -> this.stalls.start(loop));
	}

	@Override
	public boolean matches(String path) {
		return true;
	}

	@Override
	public ConnectionListener serve(CallerRequest request, AnswerSink sink) {
		ControlCall call = this.protocol.readControlCall(request);
		if (call instanceof ControlCall.Readiness) {
			respond(sink, this.ready.getAsBoolean() ? 200 : 503, EMPTY_OBJECT);
		}
		else if (call instanceof ControlCall.Malformed unreadable) {
			EventLog.write(EventKind.REPORT_REFUSED, "path", request.path(), "reason", unreadable.reason());
			respond(sink, 400, message(unreadable.reason()));
		}
		else if (call instanceof ControlCall.Unknown || this.operations.isEmpty()) {
			respond(sink, 404, message("this VM does not serve this path"));
		}
		else if (call instanceof ControlCall.Leave leave) {
			return leave(leave, this.operations.get(), sink);
		}
		else if (call instanceof ControlCall.Evacuate evacuate) {
			return evacuate(evacuate, this.operations.get(), sink);
		}
		else {
			serve(call, this.operations.get(), sink);
		}
		return null;
	}

	// the notice names no incarnation: a late one must not remove a target that has
	// started again
	private ConnectionListener leave(ControlCall.Leave call, ControlOperations operations, AnswerSink sink) {
		CallerPresence caller = presence(sink);
		caller.whenSettled(() -> {
			operations.leave(call.target());
			boolean acknowledged = operations.isConnectedToMajority();
			operations.metrics().countResponse("leaves", acknowledged);
			respond(sink, acknowledged ? 200 : 503, EMPTY_OBJECT);
		}, () -> {
			operations.metrics().countResponse("leaves", false);
			EventLog.write(EventKind.REPORT_REFUSED, "target", call.target(), "reason",
					"the target no longer waits for an answer to its notice that it leaves");
			respond(sink, 503, EMPTY_OBJECT);
		});
		return caller;
	}

	private CallerPresence presence(AnswerSink sink) {
		return new CallerPresence(this.loop, sink.maxRequestAgeMillis(), this.stalls.hasStalledRecently());
	}

	private ConnectionListener evacuate(ControlCall.Evacuate call, ControlOperations operations, AnswerSink sink) {
		CallerPresence caller = presence(sink);
		new EvacuationOrder(call, operations, this.loop, caller,
				(done) -> respond(sink, done ? 200 : 503, EMPTY_OBJECT))
			.start();
		return caller;
	}

	private void serve(ControlCall call, ControlOperations operations, AnswerSink sink) {
		if (call instanceof ControlCall.Resolve resolve) {
			Optional<byte[]> directory = operations.resolve(resolve);
			operations.metrics().countResponse("lookups", directory.isPresent());
			respond(sink, directory.isPresent() ? 200 : 503, directory.orElse(EMPTY_OBJECT));
		}
		else if (call instanceof ControlCall.Report report) {
			boolean leaving = report.report().condition() != TargetCondition.READY;
			operations.report(report.report());
			boolean acknowledged = !leaving || operations.isConnectedToMajority();
			operations.metrics().countResponse("reports", acknowledged);
			respond(sink, acknowledged ? 200 : 503, EMPTY_OBJECT);
		}
		else if (call instanceof ControlCall.Declare declare) {
			long version = declare.declaration().version();
			respondToChange(operations.propose(new DeclarationCommand.Declare(version, declare.document())),
					"declare " + version, operations, sink);
		}
		else if (call instanceof ControlCall.ReadDeclaration) {
			long startNanos = System.nanoTime();
			operations.read().whenCompleteAsync((state, failure) -> {
				boolean known = failure == null && state.isPresent();
				operations.metrics().recordOperatorCall("read", known, System.nanoTime() - startNanos);
				respondToRead(known ? state : Optional.empty(), sink);
			}, this.loop);
		}
	}

	private void respondToChange(CompletableFuture<Optional<DeclaredState>> outcome, String operation,
			ControlOperations operations, AnswerSink sink) {
		long startNanos = System.nanoTime();
		outcome.whenCompleteAsync((state, failure) -> {
			boolean succeeded = failure == null && state.isPresent();
			operations.metrics().recordOperatorCall("declare", succeeded, System.nanoTime() - startNanos);
			EventLog.write(EventKind.OPERATOR_CALL, "order", operation, "done", succeeded, "index",
					succeeded ? state.get().index() : null, "millis", (System.nanoTime() - startNanos) / 1_000_000);
			respond(sink, succeeded ? 200 : 503, EMPTY_OBJECT);
		}, this.loop);
	}

	private static void respondToRead(Optional<DeclaredState> state, AnswerSink sink) {
		boolean known = state.isPresent();
		EventLog.write(EventKind.OPERATOR_CALL, "order", "read", "done", known, "version",
				known ? state.get().version() : null);
		if (known && state.get().isDeclared()) {
			respond(sink, 200, state.get().document());
			return;
		}
		respond(sink, known ? 404 : 503, message("the latest declaration is not available now"));
	}

	private static byte[] message(String text) {
		return JsonNodeFactory.instance.objectNode().put("message", text).toString().getBytes(StandardCharsets.UTF_8);
	}

	private static void respond(AnswerSink sink, int status, byte[] body) {
		HttpHeaders headers = new DefaultHttpHeaders();
		headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
		sink.answer(new AnswerHead(status, headers), body);
	}

}
