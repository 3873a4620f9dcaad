package org.vanillatrestle.daemon.internal.ledger;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import org.apache.commons.rng.UniformRandomProvider;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.OnceKey;
import org.vanillatrestle.VmId;
import org.vanillatrestle.daemon.internal.pipeline.BearerKeys;
import org.vanillatrestle.daemon.internal.pipeline.CallerRequest;
import org.vanillatrestle.daemon.internal.pipeline.Exchange;
import org.vanillatrestle.daemon.internal.pipeline.Filter;
import org.vanillatrestle.daemon.internal.pipeline.Refusals;
import org.vanillatrestle.internal.once.AttemptId;
import org.vanillatrestle.internal.once.LedgerCommand;
import org.vanillatrestle.internal.once.RequestDigest;

/**
 * Filter that claims at-most-once calls in the once ledger of the caller's home region
 * before anything is sent to a target.
 * <p>
 * Used on the VM's event loop.
 */
public final class ClaimFilter implements Filter {

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private final EventLoop eventLoop;

	private final OnceClient client;

	private final VmId self;

	private final LongSupplier incarnation;

	private final UniformRandomProvider random;

	private final LongSupplier clockNanos;

	/**
	 * Creates the filter.
	 * @param eventLoop the VM's event loop
	 * @param client sends commands to the ledgers
	 * @param self the id of this VM
	 * @param incarnation supplies this VM's incarnation, which increases after other VMs
	 * declared it dead
	 * @param random generates the attempt ids
	 * @param clockNanos the monotonic clock, in nanoseconds
	 */
	public ClaimFilter(EventLoop eventLoop, OnceClient client, VmId self, LongSupplier incarnation,
			UniformRandomProvider random, LongSupplier clockNanos) {
		this.eventLoop = eventLoop;
		this.client = client;
		this.self = self;
		this.incarnation = incarnation;
		this.random = random;
		this.clockNanos = clockNanos;
	}

	@Override
	public void apply(Exchange exchange, Continuation next) {
		if (exchange.onceKey().isEmpty()) {
			next.proceed();
			return;
		}
		OnceKey key = exchange.onceKey().get();
		Optional<DataCentreId> home = this.client.home(exchange.caller(), key);
		if (home.isEmpty()) {
			exchange.refuse(Refusals.ledgerUnreachable(exchange.caller().homeRegion(), RETRY_AFTER_MILLIS));
			return;
		}
		AttemptId attempt = new AttemptId(this.random.nextLong(), this.random.nextLong());
		LedgerCommand.Claim command = new LedgerCommand.Claim(key, digest(exchange.request()), attempt, this.self,
				this.incarnation.getAsLong());
		Settlement settlement = new Settlement(this.eventLoop, this.client, home.get(), key, attempt);
		new PendingClaim(exchange, next, this.eventLoop, this.client, home.get(), command, settlement, this.clockNanos)
			.start();
	}

	private static RequestDigest digest(CallerRequest request) {
		String head = request.method() + " " + request.path() + "?" + request.query() + "\n";
		return RequestDigest.of(BearerKeys.sha256(head.getBytes(StandardCharsets.UTF_8), request.body()));
	}

}
