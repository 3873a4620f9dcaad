package org.vanillatrestle.daemon.internal.pipeline;

import org.vanillatrestle.internal.request.PolicyRequest;

/**
 * Tells the policy of a request.
 * <p>
 * Stateless and thread safe.
 */
final class PolicyRequests {

	private PolicyRequests() {
	}

	static PolicyRequest of(Exchange exchange) {
		Call call = exchange.call();
		return PolicyRequest.builder(exchange.contract().customer(), call.service())
			.model(call.model().orElse(null))
			.repeat(call.repeat())
			.priority(call.service().priority())
			.promptTokens(call.promptTokens())
			.maxTokens(call.maxTokens())
			.prefixHash(call.prefixHash())
			.requestBytes(exchange.request().body().length)
			.deadlineNanos(exchange.deadlineNanos())
			.home(exchange.caller().home())
			.objective(exchange.contract().objective())
			.allowedRegions(exchange.contract().allowedRegions())
			.forwarded(exchange.isForwarded())
			.build();
	}

}
