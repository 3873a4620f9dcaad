package org.vanillatrestle.bench.internal.peer;

import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.sun.management.OperatingSystemMXBean;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.vanillatrestle.CallerName;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.Repeat;
import org.vanillatrestle.RequestId;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.VmId;
import org.vanillatrestle.wire.ForwardFailure;
import org.vanillatrestle.wire.ForwardListener;
import org.vanillatrestle.wire.ForwardStream;
import org.vanillatrestle.wire.ForwardedRequest;
import org.vanillatrestle.wire.Header;
import org.vanillatrestle.wire.PeerIdentity;
import org.vanillatrestle.wire.PeerNode;
import org.vanillatrestle.wire.PeerSettings;
import org.vanillatrestle.wire.Usage;

/**
 * Measures forwarded requests over one link on loopback: how many a second, and how long
 * each takes, against the number in flight. Each has a body of 200 bytes and an answer of
 * two pieces of 500 bytes, given at once by the holder. Prints one line per number.
 */
public final class LinkCost {

	private static final int[] IN_FLIGHT = { 1, 8, 64, 256 };

	private static final int SECONDS = 4;

	private static final int BODY_BYTES = 200;

	private static final int DEADLINE_MILLIS = 60_000;

	private static final VmId SENDER = new VmId("vm-a");

	private static final VmId HOLDER = new VmId("vm-b");

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());

	private final EventLoop loop = this.group.next();

	private final EventLoop holderLoop = this.group.next();

	private final UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(1L);

	private final Histogram micros = new Histogram(3);

	private final byte[] body = new byte[BODY_BYTES];

	private final PeerNode sender;

	private final PeerNode holder;

	private CompletableFuture<Void> drained;

	private long endNanos;

	private int running;

	private LinkCost() throws Exception {
		SilentPeer silent = new SilentPeer();
		this.sender = new PeerNode(this.loop, PeerSettings.defaults(), null, silent, (exchange) -> null, () -> 0L,
				this.random);
		this.holder = new PeerNode(this.holderLoop, PeerSettings.defaults(), null, silent, AnswerAtOnce::new, () -> 0L,
				this.random);
	}

	/**
	 * Runs the measurement.
	 * @param arguments none
	 * @throws Exception if a socket can't be opened
	 */
	public static void main(String[] arguments) throws Exception {
		LinkCost cost = new LinkCost();
		cost.link();
		cost.measure(IN_FLIGHT[IN_FLIGHT.length - 1]);
		for (int inFlight : IN_FLIGHT) {
			System.out.println(cost.measure(inFlight));
		}
		cost.sender.stop().join();
		cost.holder.stop().join();
		cost.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
	}

	private void link() throws Exception {
		listen(this.sender, SENDER, this.loop);
		InetSocketAddress address = listen(this.holder, HOLDER, this.holderLoop);
		this.loop.submit(() -> this.sender.connect(address)).sync();
		while (!this.loop.submit(() -> this.sender.isConnected(HOLDER)).get()) {
			Thread.sleep(1);
		}
	}

	private InetSocketAddress listen(PeerNode node, VmId vm, EventLoop nodeLoop) throws Exception {
		PeerIdentity identity = new PeerIdentity(vm, new DataCentreId("dc-1"), new RegionId("bagmati"), 1, "");
		InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
		return nodeLoop.submit(() -> node.listen(any, identity)).get().get();
	}

	private String measure(int inFlight) throws Exception {
		OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
		this.micros.reset();
		this.drained = new CompletableFuture<>();
		long cpuStartNanos = system.getProcessCpuTime();
		this.endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(SECONDS);
		this.loop.execute(() -> {
			this.running = inFlight;
			for (int i = 0; i < inFlight; i++) {
				next();
			}
		});
		this.drained.get(2L * SECONDS, TimeUnit.SECONDS);
		long cpuNanos = system.getProcessCpuTime() - cpuStartNanos;
		long requests = this.micros.getTotalCount();
		return String.format("inFlight=%d requestsPerSecond=%d p50Micros=%d p99Micros=%d cpuMicrosPerRequest=%.1f",
				inFlight, requests / SECONDS, this.micros.getValueAtPercentile(50),
				this.micros.getValueAtPercentile(99), cpuNanos / 1_000.0 / requests);
	}

	private void next() {
		if (System.nanoTime() >= this.endNanos) {
			if (--this.running == 0) {
				this.drained.complete(null);
			}
			return;
		}
		ForwardedRequest request = new ForwardedRequest(RequestId.of(this.random.nextLong(), this.random.nextLong()), 1,
				7, new CustomerId("himdugdha"), new CallerName("clerks"), new ServiceName("ledger"), Optional.empty(),
				"GET", "/balances/17", List.of(new Header("accept", "application/json")), Repeat.IDEMPOTENT,
				DEADLINE_MILLIS, 5, Optional.empty());
		Measured listener = new Measured();
		listener.stream = this.sender.open(HOLDER, request, listener);
		listener.stream.writeBody(this.body, true);
	}

	/**
	 * Notes how long a request took and sends the next.
	 */
	private final class Measured implements ForwardListener {

		private final long startNanos = System.nanoTime();

		private ForwardStream stream;

		@Override
		public void onHead(int status, List<Header> headers, String target) {
		}

		@Override
		public void onFrame(byte[] data) {
			this.stream.consumed(data.length);
		}

		@Override
		public void onEnd(Usage usage) {
			LinkCost.this.micros.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - this.startNanos));
			next();
		}

		@Override
		public void onFailed(ForwardFailure failure) {
			LinkCost.this.drained.completeExceptionally(new IllegalStateException(failure.message()));
		}

	}

}
