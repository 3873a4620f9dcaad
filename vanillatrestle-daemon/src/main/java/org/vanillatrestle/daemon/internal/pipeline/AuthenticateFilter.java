package org.vanillatrestle.daemon.internal.pipeline;

import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaderNames;

/**
 * Authenticates the caller by its bearer key and looks up the caller's contract.
 * <p>
 * Used on the VM's event loop.
 */
public final class AuthenticateFilter implements Filter {

	private final ContractLookup contracts;

	public AuthenticateFilter(ContractLookup contracts) {
		this.contracts = contracts;
	}

	@Override
	public void apply(Exchange exchange, Continuation next) {
		if (!this.contracts.isLoaded()) {
			exchange.refuse(Refusals.contractsNotLoaded());
			return;
		}
		Optional<String> key = BearerKeys.fromHeader(exchange.request().header(HttpHeaderNames.AUTHORIZATION));
		if (key.isEmpty()) {
			exchange.refuse(Refusals.missingKey());
			return;
		}
		Optional<Principal> principal = this.contracts.findByKey(BearerKeys.sha256(key.get()));
		if (principal.isEmpty()) {
			exchange.refuse(Refusals.unknownKey());
			return;
		}
		exchange.setContractAndCaller(principal.get().contract(), principal.get().caller());
		next.proceed();
	}

}
