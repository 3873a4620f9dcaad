package org.vanillatrestle.daemon.internal.forward;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

import org.vanillatrestle.Caller;
import org.vanillatrestle.Contract;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.daemon.internal.pipeline.ContractLookup;
import org.vanillatrestle.daemon.internal.pipeline.Exchange;
import org.vanillatrestle.daemon.internal.pipeline.Pipeline;
import org.vanillatrestle.daemon.internal.pipeline.TraceHeaderSink;
import org.vanillatrestle.wire.ExchangeListener;
import org.vanillatrestle.wire.ForwardExchange;
import org.vanillatrestle.wire.ForwardHandler;
import org.vanillatrestle.wire.ReceivedRequest;

/**
 * Handles requests that other VMs forward: checks them against this VM's own contracts
 * and serves them in this data centre.
 * <p>
 * Used on the VM's event loop.
 */
public final class ForwardReceiver implements ForwardHandler {

	private static final int RETRY_AFTER_MILLIS = 500;

	private final Pipeline pipeline;

	private final ContractLookup contracts;

	private final RegionId region;

	private final LongSupplier clockNanos;

	private final int maxBodyBytes;

	private final Set<Exchange> active = new HashSet<>();

	private boolean shuttingDown;

	/**
	 * Creates the receiver.
	 * @param pipeline the filter pipeline for forwarded requests
	 * @param contracts the contracts in force on this VM
	 * @param region the region of this VM
	 * @param clockNanos the monotonic clock in nanoseconds
	 * @param maxBodyBytes the maximum size of a request body in bytes
	 */
	public ForwardReceiver(Pipeline pipeline, ContractLookup contracts, RegionId region, LongSupplier clockNanos,
			int maxBodyBytes) {
		this.pipeline = pipeline;
		this.contracts = contracts;
		this.region = region;
		this.clockNanos = clockNanos;
		this.maxBodyBytes = maxBodyBytes;
	}

	@Override
	public ExchangeListener onRequest(ForwardExchange forward) {
		ReceivedRequest request = forward.request();
		if (this.shuttingDown) {
			return refuse(forward, "SHUTTING_DOWN", "This VM is shutting down.");
		}
		if (!this.contracts.isLoaded() || this.contracts.appliedIndex() < request.appliedIndex()) {
			return refuse(forward, "CONTRACTS_BEHIND",
					"This VM has not yet applied the sender's version of the contracts.");
		}
		Optional<Contract> contract = this.contracts.find(request.customer());
		Optional<Caller> caller = contract.flatMap((found) -> found.caller(request.caller()));
		if (caller.isEmpty() || !contract.get().allows(this.region)) {
			return refuse(forward, "REGION_NOT_ALLOWED",
					"The contract in force on this VM does not allow the request in region " + this.region + ".");
		}
		long arrivedNanos = this.clockNanos.getAsLong();
		return new RequestBodyCollector(forward, this.maxBodyBytes,
				(sink, body) -> run(forward, sink, body, contract.get(), caller.get(), arrivedNanos));
	}

	private static ExchangeListener refuse(ForwardExchange forward, String code, String message) {
		forward.refuse(code, message, RETRY_AFTER_MILLIS);
		return new DiscardingExchangeListener();
	}

	private Exchange run(ForwardExchange forward, ForwardSink sink, byte[] body, Contract contract, Caller caller,
			long arrivedNanos) {
		ReceivedRequest request = forward.request();
		TraceHeaderSink traceSink = new TraceHeaderSink(sink, request.requestId(), this.region);
		Exchange exchange = new Exchange(request.requestId(), ReceivedRequestConverter.toCallerRequest(request, body),
				traceSink, arrivedNanos);
		traceSink.exchange(exchange);
		exchange.markForwarded(forward::start, request.attempt() - 1);
		exchange.setContractAndCaller(contract, caller);
		this.active.add(exchange);
		exchange.addListener(this.active::remove);
		this.pipeline.run(exchange);
		return exchange;
	}

	/**
	 * Refuses all further requests.
	 */
	public void startShutdown() {
		this.shuttingDown = true;
	}

	/**
	 * Returns the number of forwarded requests that are not yet answered.
	 * @return the number
	 */
	public int activeCount() {
		return this.active.size();
	}

}
