package org.vanillatrestle.daemon.internal.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.VmId;
import org.vanillatrestle.daemon.internal.peer.PeerService;
import org.vanillatrestle.internal.limits.AddressedLimitMessage;
import org.vanillatrestle.internal.limits.LimitMessage;
import org.vanillatrestle.internal.membership.CapacityRow;
import org.vanillatrestle.internal.membership.MemberRecord;
import org.vanillatrestle.internal.policy.RequestPolicy;
import org.vanillatrestle.wire.PeerChannel;
import org.vanillatrestle.wire.PeerException;
import org.vanillatrestle.wire.PeerIdentity;
import org.vanillatrestle.wire.PolicyCodec;

/**
 * Exchanges the state that the request policies of the VMs share: limit shares between
 * all VMs, the counts of requests in flight within a data centre, and the free capacity
 * between data centres.
 * <p>
 * Used on the VM's event loop.
 */
final class PolicyExchange implements AutoCloseable {

	private static final long LIMIT_PERIOD_MILLIS = 1_000;

	private static final long IN_FLIGHT_PERIOD_MILLIS = 200;

	private final EventLoop loop;

	private final RequestPolicy policy;

	private final CapacityRowConverter rowConverter;

	private final LongSupplier clockNanos;

	private PeerService peers;

	private Map<TargetId, Integer> lastInFlight = Map.of();

	private final List<Future<?>> timers = new ArrayList<>();

	PolicyExchange(EventLoop loop, RequestPolicy policy, CapacityRowConverter rowConverter, LongSupplier clockNanos) {
		this.loop = loop;
		this.policy = policy;
		this.rowConverter = rowConverter;
		this.clockNanos = clockNanos;
	}

	void start(PeerService service) {
		this.peers = service;
		service.setDatagramReceiver(PeerChannel.SHARES, this::receive);
		schedule(LIMIT_PERIOD_MILLIS, this::updateLimitsAndSummaries);
		schedule(IN_FLIGHT_PERIOD_MILLIS, this::sendInFlight);
	}

	private void schedule(long periodMillis, Runnable action) {
		this.timers.add(this.loop.scheduleAtFixedRate(action, periodMillis, periodMillis, TimeUnit.MILLISECONDS));
	}

	private void updateLimitsAndSummaries() {
		long nowNanos = this.clockNanos.getAsLong();
		send(this.policy.renewLimitShares(nowNanos));
		this.peers.summaries()
			.summaries()
			.forEach((summary) -> this.rowConverter.toSummaries(summary)
				.forEach((row) -> this.policy.updateRegionSummary(row, nowNanos)));
	}

	private void sendInFlight() {
		Map<TargetId, Integer> inFlight = this.policy.ownInFlight();
		if (inFlight.equals(this.lastInFlight)) {
			return;
		}
		this.lastInFlight = Map.copyOf(inFlight);
		byte[] payload = PolicyCodec.encode(this.lastInFlight);
		for (MemberRecord member : this.peers.membership().presentMembers()) {
			this.peers.node().send(member.vm(), PeerChannel.SHARES, payload);
		}
	}

	private void send(List<AddressedLimitMessage> messages) {
		messages.forEach((message) -> this.peers.node()
			.send(message.to(), PeerChannel.SHARES, PolicyCodec.encode(message.message())));
	}

	private void receive(PeerIdentity sender, byte[] payload) throws PeerException {
		boolean inSameDataCentre = sender.dataCentre().equals(this.peers.node().self().dataCentre());
		PolicyCodec.decode(payload, new Receiver(sender.vm(), inSameDataCentre));
	}

	/**
	 * Returns the free capacity of this data centre, which is sent to the other data
	 * centres.
	 * @return one row for each pool
	 */
	List<CapacityRow> capacity() {
		return this.policy.summaries(this.clockNanos.getAsLong()).stream().map(this.rowConverter::toRow).toList();
	}

	@Override
	public void close() {
		this.timers.forEach((timer) -> timer.cancel(false));
	}

	/**
	 * Applies the messages of one VM to the policy.
	 */
	private final class Receiver implements PolicyCodec.Visitor {

		private final VmId sender;

		private final boolean inSameDataCentre;

		Receiver(VmId sender, boolean inSameDataCentre) {
			this.sender = sender;
			this.inSameDataCentre = inSameDataCentre;
		}

		@Override
		public void limits(LimitMessage message) {
			PolicyExchange exchange = PolicyExchange.this;
			exchange.send(exchange.policy.receiveLimitMessage(this.sender, message, exchange.clockNanos.getAsLong()));
		}

		@Override
		public void inFlight(Map<TargetId, Integer> inFlight) {
			if (this.inSameDataCentre) {
				PolicyExchange exchange = PolicyExchange.this;
				exchange.policy.updatePeerInFlight(this.sender, inFlight, exchange.clockNanos.getAsLong());
			}
		}

	}

}
