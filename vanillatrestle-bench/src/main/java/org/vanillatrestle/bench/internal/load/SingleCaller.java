package org.vanillatrestle.bench.internal.load;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.FullHttpRequest;

/**
 * A caller that sends single requests and checks each answer whole.
 * <p>
 * Thread safe. It never repeats a request by itself.
 */
public final class SingleCaller implements AutoCloseable {

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.group.next();

	private final LoadClient client = new LoadClient(this.loop);

	/**
	 * Sends a request.
	 * @param address the entry VM
	 * @param template what is asked for
	 * @param number the request's number, from which its content follows
	 * @param key the idempotency key of a call that must run at most once
	 * @param headers further headers
	 * @return completes with what the caller saw
	 */
	public CompletableFuture<CallOutcome> send(InetSocketAddress address, RequestTemplate template, long number,
			String key, Map<String, String> headers) {
		CompletableFuture<CallOutcome> outcome = new CompletableFuture<>();
		this.loop.execute(() -> {
			RequestKind kind = template.kind();
			FullHttpRequest request = kind.request(template, number, key);
			headers.forEach((name, value) -> request.headers().set(name, value));
			Exchange exchange = new Exchange(kind.check(template, number), new LoadResult(), System.nanoTime(),
					(ended) -> outcome.complete(CallOutcome.of(ended)));
			this.client.send(address, request, exchange);
		});
		return outcome;
	}

	@Override
	public void close() {
		this.loop.submit(this.client::close).awaitUninterruptibly();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
	}

}
