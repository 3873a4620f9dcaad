package org.vanillatrestle.daemon.internal.gateway;

import org.vanillatrestle.internal.gateway.Placement;
import org.vanillatrestle.internal.gateway.RemoteEntries;
import org.vanillatrestle.internal.gateway.TargetChoice;
import org.vanillatrestle.internal.quarantine.Admission;
import org.vanillatrestle.internal.quarantine.PromptStart;

/**
 * Creates the attempts of one request at the places that were chosen for it, and counts
 * them as sent.
 * <p>
 * Used only on the VM's event loop.
 */
final class AttemptFactory {

	// From this many unread prompt tokens on, the load is reported to other VMs at once:
	// several more requests arrive while an engine reads that many.
	private static final long LARGE_PROMPT_TOKENS = 4_000;

	private final RoutedRequest request;

	private final GatewayContext context;

	AttemptFactory(RoutedRequest request) {
		this.request = request;
		this.context = request.context();
	}

	/**
	 * Creates an attempt. The caller has to start it.
	 * @param plan the places
	 * @param placement the decision for the place in this region or for the other one
	 * @param admission the decision about the parts of the prompt
	 * @param nowNanos the monotonic time
	 * @return the attempt
	 */
	RoutedAttempt create(PlacementPlan plan, Placement placement, Admission admission, long nowNanos) {
		return (placement.action() == Placement.Action.SERVE_LOCALLY)
				? toTarget(plan.target().orElseThrow(), admission, nowNanos) : toRemoteVm(plan, placement);
	}

	private RoutedAttempt toTarget(TargetChoice choice, Admission admission, long nowNanos) {
		countRepeat();
		boolean sentBefore = this.request.attempts().triedTargets().contains(choice.target().id());
		this.request.attempts().recordSend(choice.target().id());
		this.request.recorder().placed(choice, admission);
		if (choice.target().report().limit().isFinite()) {
			this.context.telemetry().count("limited.sends", service());
		}
		PromptStart promptStart = this.context.quarantine().send(this.request.shape(), admission, nowNanos);
		RoutedAttempt attempt = RoutedAttempt.toTarget(this.request,
				this.context.targets().begin(choice, this.request.shape(), nowNanos), promptStart, choice, sentBefore);
		if (choice.unreadTokens() >= LARGE_PROMPT_TOKENS) {
			this.context.onLargeRequest().run();
		}
		return attempt;
	}

	private RoutedAttempt toRemoteVm(PlacementPlan plan, Placement placement) {
		RemoteEntries.RemoteChoice choice = plan.vm().orElseThrow();
		countRepeat();
		this.request.attempts().recordSend(choice.vm());
		this.request.recorder().forwarded(choice, placement.expectedMillis(), plan.local());
		this.context.telemetry().count("sent.away", service());
		return RoutedAttempt.toVm(this.request, this.context.remoteVms().begin(choice), placement.expectedMillis());
	}

	// at the VM that the caller asked, so that the sum over all VMs is what targets see
	private void countRepeat() {
		if (this.request.attempts().hasArrived()) {
			this.context.telemetry().count("repeats", service());
		}
	}

	private String service() {
		return this.request.shape().service().name().value();
	}

}
