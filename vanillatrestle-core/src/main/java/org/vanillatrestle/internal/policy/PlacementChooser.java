package org.vanillatrestle.internal.policy;

import java.util.Optional;
import java.util.Set;

import org.vanillatrestle.RegionId;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.internal.request.Placement;
import org.vanillatrestle.internal.request.PolicyRequest;
import org.vanillatrestle.internal.request.PoolSummary;
import org.vanillatrestle.internal.request.RefusalReason;
import org.vanillatrestle.internal.select.Pool;
import org.vanillatrestle.internal.select.TargetSelector;
import org.vanillatrestle.internal.target.Announcement;

/**
 * Chooses where the attempts of requests are sent.
 * <p>
 * Never chooses a place outside the regions that a request allows, nor another data
 * centre for a request that was forwarded to this VM. Not thread safe: confined to the
 * VM's event loop.
 */
final class PlacementChooser {

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private static final long REST_RETRY_MILLIS = 50;

	private final RegionId region;

	private final TargetSelector selector;

	private final Dispatcher dispatcher;

	PlacementChooser(RegionId region, TargetSelector selector, Dispatcher dispatcher) {
		this.region = region;
		this.selector = selector;
		this.dispatcher = dispatcher;
	}

	/**
	 * Chooses the target or data centre for the next attempt of a request.
	 * @param request the request
	 * @param tried the targets that this request has already been sent to
	 * @param mayForward whether the request may be forwarded to another data centre
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the placement
	 */
	Placement choose(PolicyRequest request, Set<TargetId> tried, boolean mayForward, long nowNanos) {
		Pool pool = this.selector.pool(request.pool(), nowNanos);
		Optional<Announcement> local = chooseLocal(request, pool, tried, nowNanos);
		if (mayForward && !request.isForwarded()) {
			Optional<PoolSummary> remote = this.dispatcher.chooseRemote(request, pool, nowNanos);
			if (remote.isPresent()) {
				return new Placement.Forward(remote.get().region(), remote.get().dataCentre());
			}
		}
		return toPlacement(local);
	}

	/**
	 * Chooses the target or data centre for the rest of an answer that has begun. Where
	 * the rules for new requests find none, any other data centre with a free slot is
	 * chosen.
	 * @param request the request
	 * @param tried the targets that this request has already been sent to
	 * @param mayForward whether the request may be forwarded to another data centre
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the placement; {@code None} tells when to ask again, which is 0 if live
	 * targets are there and the request has been sent to all of them
	 */
	Placement chooseForRest(PolicyRequest request, Set<TargetId> tried, boolean mayForward, long nowNanos) {
		Placement placement = choose(request, tried, mayForward, nowNanos);
		if (!(placement instanceof Placement.None)) {
			return placement;
		}
		Pool pool = this.selector.pool(request.pool(), nowNanos);
		if (mayForward && !request.isForwarded()) {
			Optional<PoolSummary> remote = this.dispatcher.chooseRemoteForRest(request, pool, nowNanos);
			if (remote.isPresent()) {
				return new Placement.Forward(remote.get().region(), remote.get().dataCentre());
			}
		}
		return new Placement.None(RefusalReason.NO_TARGET, pool.isEmpty() ? REST_RETRY_MILLIS : 0);
	}

	private Optional<Announcement> chooseLocal(PolicyRequest request, Pool pool, Set<TargetId> tried, long nowNanos) {
		return request.allowedRegions().contains(this.region) ? this.selector.choose(pool, request, tried, nowNanos)
				: Optional.empty();
	}

	private static Placement toPlacement(Optional<Announcement> local) {
		return local.<Placement>map(Placement.Local::new)
			.orElseGet(() -> new Placement.None(RefusalReason.NO_TARGET, RETRY_AFTER_MILLIS));
	}

}
