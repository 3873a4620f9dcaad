package org.vanillatrestle.daemon.internal.routes;

import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaderNames;
import org.vanillatrestle.daemon.internal.pipeline.AnswerSink;
import org.vanillatrestle.daemon.internal.pipeline.BearerKeys;
import org.vanillatrestle.daemon.internal.pipeline.CallerRequest;
import org.vanillatrestle.daemon.internal.pipeline.ContractLookup;
import org.vanillatrestle.daemon.internal.pipeline.Principal;
import org.vanillatrestle.daemon.internal.pipeline.Refusals;

/**
 * Authenticates the caller of a request that is not processed by the pipeline.
 * <p>
 * Must be called on the VM's event loop.
 */
final class CallerLookup {

	private final ContractLookup contracts;

	CallerLookup(ContractLookup contracts) {
		this.contracts = contracts;
	}

	/**
	 * Finds the caller by its bearer key, or refuses the request with the reason.
	 * @param request the request
	 * @param sink receives the refusal
	 * @return the caller, or empty if the request was refused
	 */
	Optional<Principal> find(CallerRequest request, AnswerSink sink) {
		if (!this.contracts.isLoaded()) {
			sink.refuse(Refusals.contractsNotLoaded());
			return Optional.empty();
		}
		Optional<String> key = BearerKeys.fromHeader(request.header(HttpHeaderNames.AUTHORIZATION));
		if (key.isEmpty()) {
			sink.refuse(Refusals.missingKey());
			return Optional.empty();
		}
		Optional<Principal> principal = this.contracts.findByKey(BearerKeys.sha256(key.get()));
		if (principal.isEmpty()) {
			sink.refuse(Refusals.unknownKey());
		}
		return principal;
	}

}
