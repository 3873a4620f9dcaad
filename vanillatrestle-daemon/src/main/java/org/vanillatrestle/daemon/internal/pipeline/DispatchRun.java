package org.vanillatrestle.daemon.internal.pipeline;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.jboss.logging.Logger;
import org.vanillatrestle.Repeat;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.Verdict;

/**
 * The attempts of one request, one after the other, until it has its answer.
 * <p>
 * Events of an attempt that is no longer the current one are dropped. No attempt starts
 * after one whose verdict forbids it, after the deadline, or at a target already tried.
 * Used on the VM's event loop.
 */
final class DispatchRun {

	private static final Logger logger = Logger.getLogger(DispatchRun.class);

	private final Exchange exchange;

	private final EventLoop eventLoop;

	private final Router router;

	private final AttemptStarter starter;

	private final Consumer<DispatchRun> whenDone;

	private final Set<TargetId> tried = new HashSet<>();

	private final RelaySelector relays;

	private Verdict verdict = Verdict.NOT_RUN;

	private AttemptRun current;

	private Future<?> deadlineTimer;

	private Future<?> retryTimer;

	private boolean done;

	DispatchRun(Exchange exchange, EventLoop eventLoop, Router router, AttemptStarter starter,
			Consumer<DispatchRun> whenDone) {
		this.exchange = exchange;
		this.eventLoop = eventLoop;
		this.router = router;
		this.starter = starter;
		this.whenDone = whenDone;
		this.relays = new RelaySelector(exchange, System::nanoTime);
	}

	void start() {
		this.exchange.cancellation(this::callerGone);
		this.exchange.writabilityListener(this::writabilityChanged);
		long remainingNanos = this.exchange.deadlineNanos() - System.nanoTime();
		this.deadlineTimer = this.eventLoop.schedule(this::deadlinePassed, remainingNanos, TimeUnit.NANOSECONDS);
		attempt(null);
	}

	private void attempt(String lastFailure) {
		Route route = this.router.route(this.exchange, this.tried);
		if (route instanceof Route.Nowhere nowhere) {
			fail((lastFailure != null) ? Refusals.targetBroke(lastFailure, this.verdict) : Refusals
				.noTarget(this.exchange.call().service().name() + ": " + nowhere.reason(), nowhere.retryAfterMillis()));
			return;
		}
		if (route instanceof Route.Local local) {
			this.tried.add(local.target().target());
		}
		int number = this.exchange.nextAttempt();
		this.router.dispatched(this.exchange, route);
		AttemptRun run = new AttemptRun(this, this.exchange, route, this.relays, this.relays.resumeOffset());
		this.current = run;
		run.started(this.starter.start(this.exchange, route, number, this.relays.resumeOffset(), run));
	}

	boolean isCurrent(AttemptRun run) {
		return !this.done && this.current == run;
	}

	void firstByte(AttemptRun run) {
		this.router.firstByte(this.exchange, run.route());
	}

	void answered(AttemptRun run) {
		this.current = null;
		this.verdict = Verdict.RAN;
		this.router.finished(this.exchange, run.route(), AttemptOutcome.ANSWERED, this.relays.tokens());
		finish();
	}

	void failed(AttemptRun run, AttemptOutcome outcome, Verdict attemptVerdict, String detail) {
		this.current = null;
		this.relays.reset();
		this.router.finished(this.exchange, run.route(), outcome, this.relays.tokens());
		this.verdict = this.verdict.and(attemptVerdict);
		logger.debugf("Dispatch: attempt %d of request %s failed, %s: %s.", this.exchange.attempts(),
				this.exchange.id(), attemptVerdict, detail);
		if (this.exchange.isEnded() && this.exchange.claim().isEmpty()) {
			finish();
			return;
		}
		long delayNanos = retryDelayNanos();
		if (delayNanos < 0) {
			fail(Refusals.targetBroke(detail, this.verdict));
			return;
		}
		this.retryTimer = this.eventLoop.schedule(() -> attempt(detail), delayNanos, TimeUnit.NANOSECONDS);
	}

	private long retryDelayNanos() {
		boolean permitted = this.verdict.permitsRepeat(this.exchange.call().repeat());
		if (!permitted || this.relays.resumeOffset() < 0) {
			return -1;
		}
		long delayNanos = this.router.retryDelayNanos(this.exchange, this.verdict);
		boolean inTime = System.nanoTime() + delayNanos < this.exchange.deadlineNanos();
		return inTime ? delayNanos : -1;
	}

	private void deadlinePassed() {
		if (this.done) {
			return;
		}
		stopCurrent();
		fail(Refusals.deadlinePassed(this.exchange.call().deadlineMillis(), this.verdict));
	}

	private void callerGone() {
		boolean answerMustBeRecorded = this.exchange.claim().isPresent()
				&& this.exchange.call().repeat() == Repeat.AT_MOST_ONCE;
		if (this.done || answerMustBeRecorded) {
			return;
		}
		stopCurrent();
		finish();
	}

	private void stopCurrent() {
		if (this.retryTimer != null) {
			this.retryTimer.cancel(false);
		}
		if (this.current == null) {
			return;
		}
		AttemptRun stopped = this.current;
		this.current = null;
		this.verdict = this.verdict.and(stopped.cancel());
		this.relays.reset();
		this.router.finished(this.exchange, stopped.route(), AttemptOutcome.CANCELLED, this.relays.tokens());
	}

	private void writabilityChanged() {
		if (this.current != null) {
			this.current.setReading(this.exchange.isWritable());
		}
	}

	private void fail(Refusal refusal) {
		this.exchange.claim().ifPresent((claim) -> settle(claim));
		this.exchange.refuse(refusal.after(this.verdict));
		finish();
	}

	private void settle(OnceClaim claim) {
		if (this.verdict == Verdict.NOT_RUN) {
			claim.released();
		}
		else {
			claim.abandoned();
		}
	}

	private void finish() {
		this.done = true;
		this.deadlineTimer.cancel(false);
		this.whenDone.accept(this);
	}

}
