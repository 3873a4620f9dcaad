package org.vanillatrestle.daemon.internal.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaderNames;
import org.vanillatrestle.Names;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.daemon.internal.http.ConnectionListener;
import org.vanillatrestle.daemon.internal.http.HttpRoute;
import org.vanillatrestle.daemon.internal.logging.EventKind;
import org.vanillatrestle.daemon.internal.pipeline.AnswerSink;
import org.vanillatrestle.daemon.internal.pipeline.CallerRequest;
import org.vanillatrestle.daemon.protocol.CallDetails;
import org.vanillatrestle.internal.declaration.Declaration;
import org.vanillatrestle.internal.declaration.DeclaredRoute;
import org.vanillatrestle.internal.declaration.DeclaredService;
import org.vanillatrestle.internal.declaration.RouteTable;
import org.vanillatrestle.internal.gateway.RequestShape;
import org.vanillatrestle.internal.gateway.StartWait;

/**
 * Takes requests on declared routes, from callers and from other VMs.
 * <p>
 * Used on the VM's event loop.
 */
public final class RequestDispatcher {

	private final GatewayContext context;

	private final HeldRequests held;

	private Declaration declaration;

	private RouteTable routes;

	RequestDispatcher(GatewayContext context) {
		this.context = context;
		this.held = new HeldRequests(context.loop());
	}

	/**
	 * Puts a declaration in force.
	 * @param changed the declaration
	 */
	void applyDeclaration(Declaration changed) {
		this.declaration = changed;
		this.routes = new RouteTable(changed);
		this.context.remoteEntries().setBoundRegions(boundRegions(changed));
		this.held.serveAll();
	}

	private static Map<ServiceName, Set<RegionId>> boundRegions(Declaration declaration) {
		Map<ServiceName, Set<RegionId>> bound = new HashMap<>();
		for (DeclaredRoute route : declaration.routes()) {
			route.shares()
				.forEach((share) -> bound.computeIfAbsent(share.service(), (key) -> new HashSet<>())
					.addAll(route.homes()));
		}
		return bound;
	}

	boolean isDeclared() {
		return this.declaration != null;
	}

	List<DeclaredService> services() {
		return isDeclared() ? List.copyOf(this.declaration.services().values()) : List.of();
	}

	/**
	 * The shortest pause objective among the streams of a service.
	 * @param service the service
	 * @return the pause in milliseconds, the highest number if it has no streams
	 */
	long pauseObjectiveMillis(ServiceName service) {
		return this.declaration.routes()
			.stream()
			.filter((route) -> route.isStreaming()
					&& route.shares().stream().anyMatch((share) -> share.service().equals(service)))
			.mapToLong(DeclaredRoute::pauseObjectiveMillis)
			.min()
			.orElse(Long.MAX_VALUE);
	}

	/**
	 * For each service how long its targets stay cold.
	 * @return the times in milliseconds
	 */
	Map<ServiceName, Long> coldStartMillis() {
		Map<ServiceName, Long> times = new HashMap<>();
		services().forEach((service) -> times.put(service.name(), service.coldStartMillis()));
		return times;
	}

	/**
	 * The way in for callers, or for other VMs.
	 * @param forwarded whether requests come from other VMs
	 * @return the way in
	 */
	HttpRoute httpRoute(boolean forwarded) {
		return new HttpRoute() {

			@Override
			public boolean matches(String path) {
				return true;
			}

			@Override
			public ConnectionListener serve(CallerRequest request, AnswerSink sink) {
				CallDetails details = RequestDispatcher.this.context.protocol().readCall(request);
				if (isDeclared()) {
					return RequestDispatcher.this.serve(request, details, sink, forwarded, System.nanoTime());
				}
				return holdUntilDeclared(request, details, sink, forwarded);
			}

		};
	}

	private ConnectionListener holdUntilDeclared(CallerRequest request, CallDetails details, AnswerSink sink,
			boolean forwarded) {
		long millis = StartWait.forDeclarationMillis(this.context.uptimeMillis(), details.deadlineMillis());
		if (millis == 0 || this.held.isFull()) {
			return refuse(GatewayError.NOT_DECLARED, details, sink);
		}
		return this.held.hold(millis, (arrivedNanos) -> serve(request, details, sink, forwarded, arrivedNanos),
				() -> refuse(GatewayError.NOT_DECLARED, details, sink));
	}

	private ConnectionListener serve(CallerRequest request, CallDetails details, AnswerSink sink, boolean forwarded,
			long arrivedNanos) {
		Optional<DeclaredRoute> route = this.routes.find(request.header(HttpHeaderNames.HOST), request.path());
		if (route.isEmpty()) {
			return refuse(forwarded ? GatewayError.NO_SERVICE : GatewayError.NO_ROUTE, details, sink);
		}
		Optional<DeclaredService> service = service(request, route.get(), forwarded);
		if (service.isEmpty()) {
			return refuse(GatewayError.NO_SERVICE, details, sink);
		}
		RequestShape shape = new RequestShape(service.get(), details.promptTokens(), details.maxOutputTokens(),
				details.promptParts(), route.get().pauseObjectiveMillis(), RequestShape.maxReadingShare(route.get()));
		RoutedRequest routed = new RoutedRequest(this.context, route.get(), this.declaration.version(), shape, request,
				details, sink, forwarded, arrivedNanos);
		routed.start();
		return routed.isEnded() ? null : routed;
	}

	private Optional<DeclaredService> service(CallerRequest request, DeclaredRoute route, boolean forwarded) {
		if (!forwarded) {
			ServiceName picked = route.pickService(this.context.random().nextDouble());
			return Optional.ofNullable(this.declaration.services().get(picked));
		}
		String name = request.header(RoutedAttempt.SERVICE_HEADER);
		boolean served = route.shares()
			.stream()
			.anyMatch((share) -> share.weight() > 0 && share.service().value().equals(name));
		return (served && Names.isValid(name))
				? Optional.ofNullable(this.declaration.services().get(new ServiceName(name))) : Optional.empty();
	}

	private ConnectionListener refuse(GatewayError refusal, CallDetails details, AnswerSink sink) {
		refusal.respond(sink, (refusal.status() == 503) ? StartWait.retryMillis(this.context.uptimeMillis()) : -1);
		this.context.telemetry().recordCompletion("none", EventKind.REFUSED, refusal.name(), 0);
		this.context.telemetry().log(EventKind.REFUSED, "request", details.requestId(), "reason", refusal.name());
		return null;
	}

}
