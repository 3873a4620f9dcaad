package org.vanillatrestle.bench.internal.experiment;

import org.vanillatrestle.internal.request.Placement;
import org.vanillatrestle.internal.request.PolicyRequest;
import org.vanillatrestle.internal.request.Ticket;

/**
 * A caller's request at the VM that it entered, under the project's policy.
 * <p>
 * Not thread safe.
 */
final class PolicyFlight extends Flight implements PolicyRouter.Waiting {

	private final PolicyRouter router;

	private final PolicyRequest policyRequest;

	private Ticket ticket;

	private long usedTokens;

	PolicyFlight(PolicyRouter router, SimulatedRequest request, PolicyRequest policyRequest) {
		super(router.world(), request);
		this.router = router;
		this.policyRequest = policyRequest;
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
		next();
	}

	@Override
	public void refused() {
		lose(true);
	}

	@Override
	void next() {
		if (isEnded()) {
			return;
		}
		boolean mayForward = true;
		Placement placement = this.router.policy()
			.choosePlacement(this.policyRequest, tried(), mayForward, this.router.now());
		if (placement instanceof Placement.Local local) {
			tried().add(local.target().target());
			LocalAttempt attempt = new LocalAttempt(this.router, request(), this.ticket, local,
					new FlightListener(this));
			attempt(false, attempt::cancel);
			attempt.start();
		}
		else if (placement instanceof Placement.Forward forward) {
			RemoteAttempt attempt = new RemoteAttempt(this.router, request(), this.ticket, forward,
					new FlightListener(this));
			attempt(true, attempt::cancel);
			attempt.start();
		}
		else {
			lose(true);
		}
	}

	@Override
	void failed(boolean refused) {
		boolean again = this.router.policy()
			.tryAcquireRetry(this.policyRequest, verdict(), attempts(), this.router.now());
		if (!again) {
			lose(refused);
			return;
		}
		world().loop().after(this.router.policy().retries().backoffNanos(attempts()), this::again);
	}

	private void again() {
		if (!isEnded()) {
			this.router.again(this.ticket, this);
		}
	}

	@Override
	void answered(int tokens) {
		this.usedTokens = request().promptTokens() + tokens;
		super.answered(tokens);
	}

	@Override
	void ended() {
		this.router.release(this.ticket, this.usedTokens);
	}

}
