package org.vanillatrestle.daemon.internal.pipeline;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.jboss.logging.Logger;
import org.vanillatrestle.Repeat;
import org.vanillatrestle.Verdict;
import org.vanillatrestle.internal.request.AttemptOutcome;
import org.vanillatrestle.internal.request.Placement;

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

	private final AttemptLog attempts;

	private final AdmissionFilter admission;

	private final AttemptStarter starter;

	private final Consumer<DispatchRun> whenDone;

	private final RelaySelector relays;

	private Verdict verdict = Verdict.NOT_RUN;

	private AttemptRun current;

	private Future<?> deadlineTimer;

	private Future<?> retryTimer;

	private boolean done;

	DispatchRun(Exchange exchange, EventLoop eventLoop, AttemptLog attempts, AdmissionFilter admission,
			AttemptStarter starter, Consumer<DispatchRun> whenDone) {
		this.exchange = exchange;
		this.eventLoop = eventLoop;
		this.attempts = attempts;
		this.admission = admission;
		this.starter = starter;
		this.whenDone = whenDone;
		this.relays = new RelaySelector(exchange, attempts.clockNanos());
	}

	void start() {
		this.exchange.cancellation(this::callerGone);
		this.exchange.writabilityListener(this::writabilityChanged);
		long remainingNanos = this.exchange.deadlineNanos() - this.attempts.nowNanos();
		this.deadlineTimer = this.eventLoop.schedule(this::deadlinePassed, remainingNanos, TimeUnit.NANOSECONDS);
		attempt(null);
	}

	private void attempt(String lastFailure) {
		if (this.done) {
			return;
		}
		Placement placement = this.attempts.place();
		if (placement instanceof Placement.None none) {
			fail((lastFailure != null) ? Refusals.targetBroke(lastFailure, this.verdict)
					: Refusals.noTarget(this.exchange.call().service().name().value(), none.retryAfterMillis()));
			return;
		}
		if (!this.exchange.mayStart()) {
			finish();
			return;
		}
		int number = this.exchange.nextAttempt();
		AttemptRun run = new AttemptRun(this, this.exchange, this.attempts.begin(placement), this.relays);
		this.current = run;
		run.watch(this.eventLoop, this.attempts.firstByteTimeoutNanos());
		run.started(this.starter.start(this.exchange, placement, number, run.resumeOffset(), run));
	}

	boolean isCurrent(AttemptRun run) {
		return !this.done && this.current == run;
	}

	void firstByte(AttemptRun run) {
		this.attempts.firstByte(run.attempt());
	}

	void answered(AttemptRun run) {
		this.current = null;
		this.verdict = Verdict.RAN;
		this.attempts.finished(run.attempt(), AttemptOutcome.COMPLETED, run.tokens());
		finish();
	}

	void failed(AttemptRun run, AttemptOutcome outcome, Verdict attemptVerdict, String detail) {
		this.current = null;
		this.relays.reset();
		this.attempts.finished(run.attempt(), outcome, run.tokens());
		this.verdict = this.verdict.and(attemptVerdict);
		logger.debugf("Dispatch: attempt %d of request %s failed, %s: %s.", this.exchange.attempts(),
				this.exchange.id(), attemptVerdict, detail);
		if (this.exchange.isEnded() && this.exchange.claim().isEmpty()) {
			finish();
			return;
		}
		long delayNanos = (this.relays.resumeOffset() < 0) ? -1 : this.attempts.retryDelayNanos(this.verdict);
		if (delayNanos < 0) {
			fail(Refusals.targetBroke(detail, this.verdict));
			return;
		}
		this.retryTimer = this.eventLoop.schedule(() -> retry(detail), delayNanos, TimeUnit.NANOSECONDS);
	}

	private void retry(String lastFailure) {
		if (this.attempts.place() instanceof Placement.None) {
			failUnlessDone(Refusals.targetBroke(lastFailure, this.verdict));
			return;
		}
		this.admission.again(this.exchange, () -> attempt(lastFailure),
				() -> failUnlessDone(Refusals.targetBroke(lastFailure, this.verdict)));
	}

	private void failUnlessDone(Refusal refusal) {
		if (!this.done) {
			fail(refusal);
		}
	}

	private void deadlinePassed() {
		if (this.done) {
			return;
		}
		stopCurrent(AttemptOutcome.TIMED_OUT);
		fail(Refusals.deadlinePassed(this.exchange.call().deadlineMillis(), this.verdict));
	}

	private void callerGone() {
		boolean answerMustBeRecorded = this.exchange.claim().isPresent()
				&& this.exchange.call().repeat() == Repeat.AT_MOST_ONCE;
		if (this.done || answerMustBeRecorded) {
			return;
		}
		stopCurrent(AttemptOutcome.CANCELLED);
		finish();
	}

	private void stopCurrent(AttemptOutcome outcome) {
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
		this.attempts.finished(stopped.attempt(), outcome, stopped.tokens());
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
