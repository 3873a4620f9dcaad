package org.vanillatrestle.bench.internal.load;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Generates load on one or more threads, each with its share of the rate and of the
 * requests in flight.
 * <p>
 * Stateless and thread safe.
 */
public final class LoadGenerator {

	private LoadGenerator() {
	}

	/**
	 * Generates load and waits for its end.
	 * @param addresses where requests go, in turn
	 * @param template what is asked for
	 * @param shape how much load there is
	 * @param threads how many threads generate it
	 * @return what was measured
	 * @throws InterruptedException if the wait is interrupted
	 */
	public static LoadResult run(List<InetSocketAddress> addresses, RequestTemplate template, LoadShape shape,
			int threads) throws InterruptedException {
		EventLoopGroup group = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
		try {
			LoadShape share = new LoadShape(shape.ratePerSecond() / threads, shape.warmUpMillis(),
					shape.durationMillis(), Math.max(1, shape.maxInFlight() / threads), shape.seed());
			List<CompletableFuture<LoadResult>> parts = new ArrayList<>();
			for (int i = 0; i < threads; i++) {
				parts.add(new Part(group.next(), addresses, template, share, i).start());
			}
			LoadResult result = new LoadResult();
			for (CompletableFuture<LoadResult> part : parts) {
				result.addParallel(part.get());
			}
			return result;
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException("the load generator failed", ex.getCause());
		}
		finally {
			group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
		}
	}

	/**
	 * The load of one event loop. Confined to it.
	 */
	private static final class Part {

		private static final long DRAIN_MILLIS = 60_000;

		private static final long NUMBERS = 1_000_000_000L;

		private final EventLoop loop;

		private final List<InetSocketAddress> addresses;

		private final RequestTemplate template;

		private final LoadShape shape;

		private final LoadClient client;

		private final UniformRandomProvider random;

		private final CompletableFuture<LoadResult> done = new CompletableFuture<>();

		private final LoadResult ignored = new LoadResult();

		private final LoadResult measured = new LoadResult();

		private final Deque<Long> waiting = new ArrayDeque<>();

		private final String keyPrefix;

		private long nextNumber;

		private int inFlight;

		private long nextArrivalNanos;

		private long measureNanos;

		private long endNanos;

		Part(EventLoop loop, List<InetSocketAddress> addresses, RequestTemplate template, LoadShape shape, int number) {
			this.loop = loop;
			this.addresses = addresses;
			this.template = template;
			this.shape = shape;
			this.client = new LoadClient(loop);
			this.random = RandomSource.XO_SHI_RO_256_PP.create(shape.seed() + number);
			this.nextNumber = Long.remainderUnsigned(this.random.nextLong(), NUMBERS);
			this.keyPrefix = "load-" + shape.seed() + "-" + number + "-" + System.nanoTime() + "-";
		}

		CompletableFuture<LoadResult> start() {
			this.loop.execute(() -> {
				long nowNanos = System.nanoTime();
				this.nextArrivalNanos = nowNanos;
				this.measureNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(this.shape.warmUpMillis());
				this.endNanos = this.measureNanos + TimeUnit.MILLISECONDS.toNanos(this.shape.durationMillis());
				tick();
			});
			return this.done;
		}

		private void tick() {
			long nowNanos = System.nanoTime();
			arrive(nowNanos);
			dispatch(nowNanos);
			if (nowNanos - this.endNanos >= 0) {
				drain(nowNanos + TimeUnit.MILLISECONDS.toNanos(DRAIN_MILLIS));
				return;
			}
			long untilEnd = this.endNanos - nowNanos;
			long pause = this.shape.isOpenLoop() ? Math.min(untilEnd, this.nextArrivalNanos - nowNanos) : untilEnd;
			this.loop.schedule(this::tick, pause, TimeUnit.NANOSECONDS);
		}

		private void arrive(long nowNanos) {
			if (!this.shape.isOpenLoop()) {
				return;
			}
			while (nowNanos - this.nextArrivalNanos >= 0 && this.nextArrivalNanos - this.endNanos < 0) {
				this.waiting.add(this.nextArrivalNanos);
				this.nextArrivalNanos += gapNanos();
			}
		}

		private long gapNanos() {
			double gapSeconds = -Math.log(1 - this.random.nextDouble()) / this.shape.ratePerSecond();
			return (long) (gapSeconds * TimeUnit.SECONDS.toNanos(1));
		}

		private void dispatch(long nowNanos) {
			while (this.inFlight < this.shape.maxInFlight() && hasNext(nowNanos)) {
				send(this.shape.isOpenLoop() ? this.waiting.remove() : nowNanos);
			}
		}

		private boolean hasNext(long nowNanos) {
			return this.shape.isOpenLoop() ? !this.waiting.isEmpty() : nowNanos - this.endNanos < 0;
		}

		private void send(long intendedNanos) {
			long number = this.nextNumber++;
			LoadResult result = (intendedNanos - this.measureNanos >= 0) ? this.measured : this.ignored;
			this.inFlight++;
			result.inFlight(this.inFlight);
			RequestKind kind = this.template.kind();
			Exchange exchange = new Exchange(kind.check(this.template, number), result, intendedNanos, this::ended);
			InetSocketAddress address = this.addresses.get((int) (number % this.addresses.size()));
			this.client.send(address, kind.request(this.template, number, this.keyPrefix + number), exchange);
		}

		private void ended(Exchange exchange) {
			this.inFlight--;
			this.loop.execute(() -> dispatch(System.nanoTime()));
		}

		private void drain(long deadlineNanos) {
			if (this.inFlight + this.waiting.size() > 0 && System.nanoTime() - deadlineNanos < 0) {
				this.loop.schedule(() -> drain(deadlineNanos), 1, TimeUnit.MILLISECONDS);
				return;
			}
			this.waiting.forEach((intended) -> this.measured.ended(AnswerKind.NOT_SENT));
			this.measured.measured(TimeUnit.MILLISECONDS.toNanos(this.shape.durationMillis()));
			this.client.close();
			this.done.complete(this.measured);
		}

	}

}
