package org.vanillatrestle.bench.internal.experiment;

import java.util.Set;

import org.vanillatrestle.Verdict;
import org.vanillatrestle.internal.request.Placement;
import org.vanillatrestle.internal.request.PolicyRequest;
import org.vanillatrestle.internal.request.Ticket;

/**
 * A request that another VM sent: one attempt here, whose end goes back to the sender.
 * <p>
 * Not thread safe.
 */
final class ForwardedFlight implements PolicyRouter.Waiting, Job.Listener {

	private final PolicyRouter router;

	private final SimulatedRequest request;

	private final PolicyRequest policyRequest;

	private final Job.Listener sender;

	private Ticket ticket;

	private LocalAttempt attempt;

	private boolean over;

	ForwardedFlight(PolicyRouter router, SimulatedRequest request, PolicyRequest policyRequest, Job.Listener sender) {
		this.router = router;
		this.request = request;
		this.policyRequest = policyRequest;
		this.sender = sender;
	}

	PolicyRequest policyRequest() {
		return this.policyRequest;
	}

	@Override
	public void queued(Ticket newTicket) {
		this.ticket = newTicket;
	}

	@Override
	public void admitted(Ticket newTicket) {
		this.ticket = newTicket;
		Placement placement = this.router.policy()
			.choosePlacement(this.policyRequest, Set.of(), false, this.router.now());
		if (placement instanceof Placement.Local local) {
			this.attempt = new LocalAttempt(this.router, this.request, newTicket, local, this);
			this.attempt.start();
			return;
		}
		failed(Verdict.NOT_RUN, true);
	}

	@Override
	public void refused() {
		failed(Verdict.NOT_RUN, true);
	}

	void cancel() {
		if (this.over) {
			return;
		}
		this.over = true;
		if (this.attempt != null) {
			this.attempt.cancel();
		}
		this.router.release(this.ticket, 0);
	}

	@Override
	public void first(boolean prefixHit) {
		this.sender.first(prefixHit);
	}

	@Override
	public void done(int tokens) {
		end();
		this.sender.done(tokens);
	}

	@Override
	public void failed(Verdict verdict, boolean refused) {
		end();
		this.sender.failed(verdict, refused);
	}

	private void end() {
		this.over = true;
		this.router.release(this.ticket, 0);
	}

}
