package org.vanillatrestle.daemon.internal.pipeline;

import org.vanillatrestle.internal.request.PolicyRequest;

/**
 * Creates the {@link PolicyRequest} of an exchange, on which the policy bases its
 * decisions.
 * <p>
 * Stateless and thread safe.
 */
final class PolicyRequestFactory {

	private PolicyRequestFactory() {
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
			.homeRegion(exchange.caller().homeRegion())
			.objective(exchange.contract().objective())
			.allowedRegions(exchange.contract().allowedRegions())
			.forwarded(exchange.isForwarded())
			.senderAttempts(exchange.senderAttempts())
			.begunAtSender(exchange.initialEventOffset() > 0)
			.build();
	}

}
