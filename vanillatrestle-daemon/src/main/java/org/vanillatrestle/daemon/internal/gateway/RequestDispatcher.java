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
import org.vanillatrestle.internal.gateway.StartupWait;

/**
 * Accepts requests on declared routes, from callers and from other VMs.
 * <p>
 * Used only on the VM's event loop, except for {@link #declaredVersion()}.
 */
public final class RequestDispatcher {

	private final GatewayContext context;

	private final HeldRequests heldRequests;

	private volatile Declaration declaration;

	private RouteTable routes;

	RequestDispatcher(GatewayContext context) {
		this.context = context;
		this.heldRequests = new HeldRequests(context.loop());
	}

	/**
	 * Applies a new declaration and serves the requests that waited for it.
	 * @param newDeclaration the declaration
	 */
	void applyDeclaration(Declaration newDeclaration) {
		this.declaration = newDeclaration;
		this.routes = new RouteTable(newDeclaration);
		this.context.remoteVms().setBoundRegions(allowedRegions(newDeclaration));
		this.heldRequests.serveAll();
	}

	private static Map<ServiceName, Set<RegionId>> allowedRegions(Declaration declaration) {
		Map<ServiceName, Set<RegionId>> regions = new HashMap<>();
		for (DeclaredRoute route : declaration.routes()) {
			route.shares()
				.forEach((share) -> regions.computeIfAbsent(share.service(), (key) -> new HashSet<>())
					.addAll(route.allowedRegions()));
		}
		return regions;
	}

	boolean isDeclared() {
		return this.declaration != null;
	}

	/**
	 * Returns the version of the declaration in force. May be called by any thread.
	 * @return the version, 0 if there is none
	 */
	long declaredVersion() {
		Declaration current = this.declaration;
		return (current != null) ? current.version() : 0;
	}

	List<DeclaredService> services() {
		return isDeclared() ? List.copyOf(this.declaration.services().values()) : List.of();
	}

	/**
	 * Returns the shortest pause objective of all streaming routes of a service.
	 * @param service the service
	 * @return the pause in milliseconds, {@code Long.MAX_VALUE} if there is no such route
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
	 * Returns how long the targets of each service stay cold after their start.
	 * @return the times in milliseconds
	 */
	Map<ServiceName, Long> coldStartMillis() {
		Map<ServiceName, Long> coldStartMillis = new HashMap<>();
		services().forEach((service) -> coldStartMillis.put(service.name(), service.coldStartMillis()));
		return coldStartMillis;
	}

	/**
	 * Creates the HTTP route that accepts requests of callers or of other VMs.
	 * @param forwarded whether the requests are forwarded by other VMs
	 * @return the route
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
		long maxWaitMillis = StartupWait.forDeclarationMillis(this.context.uptimeMillis(), details.deadlineMillis());
		if (maxWaitMillis == 0 || this.heldRequests.isFull()) {
			return respondWithError(GatewayError.NOT_DECLARED, details, sink, forwarded);
		}
		return this.heldRequests.hold(maxWaitMillis,
				(arrivedNanos) -> serve(request, details, sink, forwarded, arrivedNanos),
				() -> respondWithError(GatewayError.NOT_DECLARED, details, sink, forwarded));
	}

	private ConnectionListener serve(CallerRequest request, CallDetails details, AnswerSink sink, boolean forwarded,
			long arrivedNanos) {
		Optional<DeclaredRoute> route = this.routes.find(request.header(HttpHeaderNames.HOST), request.path());
		if (route.isEmpty()) {
			return respondWithError(forwarded ? GatewayError.NO_SERVICE : GatewayError.NO_ROUTE, details, sink,
					forwarded);
		}
		Optional<DeclaredService> service = findService(request, route.get(), details, forwarded);
		if (service.isEmpty()) {
			return respondWithError(GatewayError.NO_SERVICE, details, sink, forwarded);
		}
		RequestShape shape = new RequestShape(service.get(), details.promptTokens(), details.maxOutputTokens(),
				details.promptParts(), route.get().pauseObjectiveMillis(), RequestShape.maxReadingShare(route.get()),
				route.get().timeoutMillis());
		RoutedRequest routedRequest = new RoutedRequest(this.context, route.get(), this.declaration.version(), shape,
				request, details, sink, forwarded, arrivedNanos);
		routedRequest.start();
		return routedRequest.isEnded() ? null : routedRequest;
	}

	private Optional<DeclaredService> findService(CallerRequest request, DeclaredRoute route, CallDetails details,
			boolean forwarded) {
		if (!forwarded) {
			ServiceName chosenService = route.selectService(this.context.random().nextDouble());
			return Optional.ofNullable(this.declaration.services().get(chosenService));
		}
		String name = request.header(AttemptHeaders.SERVICE_HEADER);
		// a newer declaration moves new requests only, not the rest of an answer
		boolean isOffered = details.resumeAfterEvent() >= 0 || route.shares()
			.stream()
			.anyMatch((share) -> share.weight() > 0 && share.service().value().equals(name));
		return (isOffered && Names.isValid(name))
				? Optional.ofNullable(this.declaration.services().get(new ServiceName(name))) : Optional.empty();
	}

	private ConnectionListener respondWithError(GatewayError error, CallDetails details, AnswerSink sink,
			boolean forwarded) {
		long retryMillis = (error.status() == 503) ? StartupWait.retryMillis(this.context.uptimeMillis()) : -1;
		error.respondUnsent(sink, retryMillis, forwarded);
		this.context.telemetry().recordCompletion("none", EventKind.REFUSED, error.name(), 0);
		this.context.telemetry()
			.log(EventKind.REFUSED, "request", details.requestId(), "reason", error.name(), "version",
					declaredVersion());
		return null;
	}

}
