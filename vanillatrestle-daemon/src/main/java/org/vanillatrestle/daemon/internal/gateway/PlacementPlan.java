package org.vanillatrestle.daemon.internal.gateway;

import java.util.Optional;
import java.util.function.Predicate;

import org.vanillatrestle.RegionId;
import org.vanillatrestle.internal.declaration.DeclaredRoute;
import org.vanillatrestle.internal.fleet.EntryReport;
import org.vanillatrestle.internal.gateway.Placement;
import org.vanillatrestle.internal.gateway.RemoteEntries;
import org.vanillatrestle.internal.gateway.RequestShape;
import org.vanillatrestle.internal.gateway.TargetChoice;

/**
 * Where a request could be served now: the best target of this region and the best VM of
 * other regions, with their estimates.
 * <p>
 * Used only on the VM's event loop.
 *
 * @param target the best target of this region, empty if none has free capacity
 * @param vm the best VM of other regions, empty if there is none
 * @param local the estimate for this region
 * @param remote the estimate for the other regions
 */
record PlacementPlan(Optional<TargetChoice> target, Optional<RemoteEntries.RemoteChoice> vm, Placement.Estimate local,
		Placement.Estimate remote) {

	static final PlacementPlan NONE = new PlacementPlan(Optional.empty(), Optional.empty(), Placement.Estimate.NONE,
			Placement.Estimate.NONE);

	/**
	 * Chooses a target and a VM that have not been tried.
	 * @param context the VM's dependencies
	 * @param route the request's route
	 * @param shape the request
	 * @param attempts the attempts made so far
	 * @param mayForward whether VMs of other regions may serve the request
	 * @param avoided a region that must not get the request, because an attempt is in
	 * progress at an unknown target there
	 * @param inProgress the number of attempts in progress
	 * @return the plan
	 */
	static PlacementPlan choose(GatewayContext context, DeclaredRoute route, RequestShape shape,
			AttemptHistory attempts, boolean mayForward, Optional<RegionId> avoided, int inProgress) {
		long now = System.nanoTime();
		Optional<TargetChoice> target = route.allows(context.region())
				? context.targets()
					.choose(shape, attempts.excludedTargets(context.targets().all(), inProgress, now), now)
				: Optional.empty();
		Optional<RemoteEntries.RemoteChoice> vm = Optional.empty();
		if (mayForward && attempts.mayRunElsewhere(inProgress)) {
			Predicate<EntryReport> allowed = (entry) -> !avoided.equals(Optional.of(entry.region()));
			vm = context.remoteVms().choose(route, shape.service().name(), allowed.and(attempts::isUntried), now);
			if (vm.isEmpty() && inProgress == 0) {
				vm = context.remoteVms()
					.choose(route, shape.service().name(), allowed.and((entry) -> attempts.mayContinueAt(entry, now)),
							now);
			}
		}
		long readMillis = context.targets().readMillis(shape, now);
		return new PlacementPlan(target, vm,
				target.map((choice) -> new Placement.Estimate(choice.waitMillis(), choice.harmfulReadingShare()))
					.orElse(Placement.Estimate.NONE),
				vm.map((choice) -> new Placement.Estimate(choice.waitMillis() + readMillis,
						choice.harmfulReadingShare()))
					.orElse(Placement.Estimate.NONE));
	}

	/**
	 * Decides which of the two places gets the request, if any.
	 * @param context the VM's dependencies
	 * @param route the request's route
	 * @param shape the request
	 * @param remainingMillis the time in milliseconds until the request's deadline
	 * @return the decision
	 */
	Placement decide(GatewayContext context, DeclaredRoute route, RequestShape shape, long remainingMillis) {
		return Placement.decide(this.local, this.remote, shape.maxReadingShare(), route.latencyObjectiveMillis(),
				context.targets().readMillis(shape, System.nanoTime()), remainingMillis);
	}

	/**
	 * Decides which of the two places continues an answer that has begun, if any.
	 * @param context the VM's dependencies
	 * @param route the request's route
	 * @param shape the request
	 * @param remainingMillis the time in milliseconds until the request's deadline
	 * @return the decision
	 */
	Placement decideForBegunAnswer(GatewayContext context, DeclaredRoute route, RequestShape shape,
			long remainingMillis) {
		return Placement.decideForBegunAnswer(this.local, this.remote, shape.maxReadingShare(),
				route.latencyObjectiveMillis(), context.targets().readMillis(shape, System.nanoTime()),
				remainingMillis);
	}

	static boolean hasUntriedTarget(GatewayContext context, RequestShape shape, AttemptHistory attempts) {
		return context.targets()
			.hasUntriedTarget(shape.service(),
					attempts.finallyExcludedTargets(context.targets().all(), System.nanoTime()));
	}

	static boolean isServedInRegion(GatewayContext context, DeclaredRoute route, RequestShape shape) {
		return route.allows(context.region()) && context.targets().hasTarget(shape.service());
	}

	boolean hasDestination() {
		return this.target.isPresent() || this.vm.isPresent();
	}

}
