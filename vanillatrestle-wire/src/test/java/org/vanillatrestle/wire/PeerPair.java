package org.vanillatrestle.wire;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import javax.net.ssl.SSLException;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.apache.commons.rng.simple.RandomSource;
import org.vanillatrestle.CallerName;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.Repeat;
import org.vanillatrestle.RequestId;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.VmId;

/**
 * Two nodes on loopback, {@code vm-a} and {@code vm-b}, on one event loop.
 */
final class PeerPair implements AutoCloseable {

	static final VmId A = new VmId("vm-a");

	static final VmId B = new VmId("vm-b");

	static final PeerSettings QUICK = new PeerSettings(64 * 1024, 8 * 1024, 1024, 64, 16, 64 * 1024, 50, 2_000, 2_000,
			10, 50, 200);

	private static final long WAIT_SECONDS = 10;

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	final EventLoop loop = this.group.next();

	final List<PeerNode> nodes = new ArrayList<>();

	final RecordingPeerHandler handlerA = new RecordingPeerHandler();

	final RecordingPeerHandler handlerB = new RecordingPeerHandler();

	final ScriptedHolder holder = new ScriptedHolder();

	final PeerNode a;

	final PeerNode b;

	InetSocketAddress addressA;

	InetSocketAddress addressB;

	PeerPair() throws Exception {
		this(QUICK, null, null);
	}

	PeerPair(PeerSettings settings, TlsSettings tlsA, TlsSettings tlsB) throws Exception {
		this.a = node(settings, tlsA, this.handlerA);
		this.b = node(settings, tlsB, this.handlerB);
	}

	void listen() throws Exception {
		this.addressA = listen(this.a, A);
		this.addressB = listen(this.b, B);
	}

	void link() throws Exception {
		listen();
		onLoop(() -> {
			this.a.connect(this.addressB);
			return null;
		});
		await(() -> this.a.isConnected(B) && this.b.isConnected(A));
	}

	InetSocketAddress listen(PeerNode node, VmId vm) throws Exception {
		InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
		PeerIdentity identity = new PeerIdentity(vm, new DataCentreId("dc-1"), new RegionId("bagmati"), 1, "");
		return get(onLoop(() -> node.listen(any, identity)));
	}

	PeerNode node(PeerSettings settings, TlsSettings tls, PeerHandler handler) throws SSLException {
		PeerNode node = new PeerNode(this.loop, settings, tls, handler, this.holder, () -> 7L,
				RandomSource.SPLIT_MIX_64.create(1L));
		this.nodes.add(node);
		return node;
	}

	ForwardStream open(RecordingForwardListener listener, int deadlineMillis) throws Exception {
		return onLoop(() -> this.a.open(B, request(deadlineMillis), listener));
	}

	static ForwardedRequest request(int deadlineMillis) {
		return new ForwardedRequest(RequestId.of(11, 12), 1, 7, new CustomerId("himdugdha"), new CallerName("clerks"),
				new ServiceName("ledger"), Optional.empty(), "POST", "/payouts", List.of(new Header("accept", "*/*")),
				Repeat.AT_MOST_ONCE, deadlineMillis, 5,
				Optional.of(new OnceInfo("key-1", "dc-1", new byte[] { 1, 2 }, "attempt-1")));
	}

	<T> T onLoop(Callable<T> action) throws Exception {
		return this.loop.submit(action).get(WAIT_SECONDS, TimeUnit.SECONDS);
	}

	static <T> T get(CompletableFuture<T> future) throws Exception {
		return future.get(WAIT_SECONDS, TimeUnit.SECONDS);
	}

	void await(BooleanSupplier condition) throws Exception {
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
		while (!onLoop(condition::getAsBoolean)) {
			if (System.nanoTime() > endNanos) {
				throw new AssertionError("The condition did not come true.");
			}
			Thread.sleep(2);
		}
	}

	@Override
	public void close() throws Exception {
		for (PeerNode node : this.nodes) {
			get(node.stop());
		}
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).get(WAIT_SECONDS, TimeUnit.SECONDS);
	}

}
