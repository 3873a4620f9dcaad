package org.vanillatrestle.daemon.internal.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.vanillatrestle.VmId;
import org.vanillatrestle.daemon.internal.peer.PeerService;
import org.vanillatrestle.daemon.internal.pipeline.AttemptHandle;
import org.vanillatrestle.daemon.internal.pipeline.AttemptListener;
import org.vanillatrestle.daemon.internal.pipeline.ContractLookup;
import org.vanillatrestle.daemon.internal.pipeline.Exchange;
import org.vanillatrestle.daemon.internal.pipeline.ForwardAttempts;
import org.vanillatrestle.daemon.internal.pipeline.HeaderNames;
import org.vanillatrestle.daemon.internal.target.HopByHopHeaders;
import org.vanillatrestle.internal.request.Placement;
import org.vanillatrestle.wire.ForwardedRequest;
import org.vanillatrestle.wire.Header;

/**
 * Forwards requests over a peer link to an entry VM of another data centre.
 * <p>
 * Used on the VM's event loop.
 */
public final class PeerForwardAttempts implements ForwardAttempts {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final PeerService peers;

	private final ContractLookup contracts;

	private final UniformRandomProvider random;

	private final LongSupplier clockNanos;

	/**
	 * Creates an instance.
	 * @param peers the service that holds the links to other VMs
	 * @param contracts the contracts in force on this VM
	 * @param random the random source for choosing among linked VMs
	 * @param clockNanos the monotonic clock in nanoseconds
	 */
	public PeerForwardAttempts(PeerService peers, ContractLookup contracts, UniformRandomProvider random,
			LongSupplier clockNanos) {
		this.peers = peers;
		this.contracts = contracts;
		this.random = random;
		this.clockNanos = clockNanos;
	}

	@Override
	public AttemptHandle start(Exchange exchange, Placement.Forward placement, int number, int resumeOffset,
			AttemptListener listener) {
		this.peers.requestLinks(placement.dataCentre());
		Optional<VmId> vm = chooseVm(this.peers.linkedVms(placement.dataCentre()));
		ForwardAttempt attempt = new ForwardAttempt(exchange.request().body(), listener);
		if (vm.isEmpty()) {
			attempt.failLater(this.peers, "no link to a VM of data centre " + placement.dataCentre() + " is open");
			return attempt;
		}
		attempt.open(this.peers.node(), vm.get(), toRequest(exchange, number, resumeOffset));
		return attempt;
	}

	private Optional<VmId> chooseVm(List<VmId> vms) {
		return vms.isEmpty() ? Optional.empty() : Optional.of(vms.get(this.random.nextInt(vms.size())));
	}

	private ForwardedRequest toRequest(Exchange exchange, int number, int resumeOffset) {
		long remainingMillis = (exchange.deadlineNanos() - this.clockNanos.getAsLong()) / NANOS_PER_MILLI;
		String query = exchange.request().query();
		String path = query.isEmpty() ? exchange.request().path() : exchange.request().path() + "?" + query;
		return new ForwardedRequest(exchange.id(), number, this.contracts.appliedIndex(),
				exchange.contract().customer(), exchange.caller().name(), exchange.call().service().name(),
				exchange.call().model(), exchange.request().method(), path, headers(exchange, resumeOffset),
				exchange.call().repeat(), (int) Math.max(0, Math.min(remainingMillis, Integer.MAX_VALUE)),
				exchange.call().service().priority(), Optional.empty());
	}

	private List<Header> headers(Exchange exchange, int resumeOffset) {
		List<Header> headers = new ArrayList<>();
		for (Map.Entry<String, String> header : HopByHopHeaders.copyWithout(exchange.request().headers())) {
			if (!ForwardHeaders.isSetByVm(header.getKey())) {
				headers.add(new Header(header.getKey(), header.getValue()));
			}
		}
		if (resumeOffset > 0) {
			headers.add(new Header(HeaderNames.RESUME_OFFSET.toString(), Integer.toString(resumeOffset)));
		}
		return headers;
	}

}
