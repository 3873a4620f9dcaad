package org.vanillatrestle.internal.retry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.Verdict;
import org.vanillatrestle.internal.request.PolicyRequest;

/**
 * Decides whether a failed request is retried, and after which back-off.
 * <p>
 * A share of a budget is kept for answers that have begun as long as some are in
 * progress. Since this VM started, the retries of a customer's service never exceed the
 * budgeted percentage of the requests that this VM was the first to send to a target,
 * plus the burst. Over all VMs, each request counts at most once, and the burst once for
 * each start of a VM and each removal of the customer. Not thread safe: confined to the
 * VM's event loop.
 */
public final class RetryPolicy {

	private static final double HUNDRED_PERCENT = 100;

	/**
	 * The number of attempts that a VM leaves to the VM that forwarded a request to it.
	 */
	private static final int ATTEMPTS_LEFT_TO_SENDER = 1;

	private final RetrySettings settings;

	private final UniformRandomProvider random;

	private final Map<Key, Budget> budgets = new HashMap<>();

	public RetryPolicy(RetrySettings settings, UniformRandomProvider random) {
		this.settings = settings;
		this.random = random;
	}

	/**
	 * Adds the retry allowance of a request to its service's budget when this VM first
	 * sends it to a target. Has no effect if the request was forwarded by a VM that made
	 * attempts before.
	 * @param request the request
	 */
	public void requestDispatched(PolicyRequest request) {
		if (request.senderAttempts() > 0) {
			return;
		}
		Budget budget = budget(request);
		budget.retries = Math.min(this.settings.burst(),
				budget.retries + this.settings.budgetPercent() / HUNDRED_PERCENT);
	}

	/**
	 * Notes that a caller has got a part of an answer, which a retry may have to
	 * continue.
	 * @param request the request
	 */
	public void answerBegan(PolicyRequest request) {
		budget(request).begunAnswers.began();
	}

	/**
	 * Notes that an answer that had begun has ended.
	 * @param request the request
	 */
	public void begunAnswerEnded(PolicyRequest request) {
		budget(request).begunAnswers.ended();
	}

	/**
	 * Decides whether a request may be retried and, if so, takes one retry from the
	 * budget.
	 * @param request the request
	 * @param verdict the combined verdict of all attempts so far
	 * @param attempts the number of attempts so far, without the sender's
	 * @param begun whether the retry continues an answer of which the caller has a part
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return why it may not be retried, or empty if the retry is taken
	 */
	public Optional<RetryDenial> acquireRetry(PolicyRequest request, Verdict verdict, int attempts, boolean begun,
			long nowNanos) {
		Optional<RetryDenial> denial = findDenial(request, verdict, attempts, begun, nowNanos);
		if (denial.isEmpty()) {
			budget(request).retries--;
		}
		return denial;
	}

	private Optional<RetryDenial> findDenial(PolicyRequest request, Verdict verdict, int attempts, boolean begun,
			long nowNanos) {
		if (!verdict.permitsRepeat(request.repeat())) {
			return Optional.of(RetryDenial.NOT_REPEATABLE);
		}
		int maxAttempts = request.isForwarded() ? maxAttemptsWhenForwarded() : this.settings.maxAttempts();
		if (request.senderAttempts() + attempts >= maxAttempts) {
			return Optional.of(RetryDenial.ATTEMPTS);
		}
		if (request.deadlineNanos() - nowNanos <= this.settings.backoffNanos()) {
			return Optional.of(RetryDenial.TIME);
		}
		Budget budget = budget(request);
		double reserved = begun ? 0 : budget.begunAnswers.reserved(this.settings.burst());
		return (budget.retries - reserved < 1) ? Optional.of(RetryDenial.BUDGET) : Optional.empty();
	}

	/**
	 * Returns the number of attempts after a forwarded attempt that may have reached
	 * targets. The receiving VM does not report its attempts, so that all that it was
	 * allowed to make are counted.
	 * @param attempts the number of attempts so far; a forwarded attempt counts as one
	 * @return the number of attempts at all VMs
	 */
	public int attemptsAfterForward(int attempts) {
		return Math.max(attempts, maxAttemptsWhenForwarded());
	}

	private int maxAttemptsWhenForwarded() {
		return this.settings.maxAttempts() - ATTEMPTS_LEFT_TO_SENDER;
	}

	/**
	 * Returns the back-off before the next attempt. The mean doubles with each attempt,
	 * up to the maximum; the result is chosen at random between 0.5 and 1.5 times the
	 * mean.
	 * @param attempts the number of attempts so far, at least 1
	 * @return the back-off in nanoseconds
	 */
	public long backoffNanos(int attempts) {
		int doublings = Math.min(20, Math.max(0, attempts - 1));
		long meanBackoffNanos = Math.min(this.settings.maxBackoffNanos(), this.settings.backoffNanos() << doublings);
		return (long) (meanBackoffNanos * (0.5 + this.random.nextDouble()));
	}

	/**
	 * Removes the retry budgets of a customer.
	 * @param customer the customer
	 */
	public void removeCustomer(CustomerId customer) {
		this.budgets.keySet().removeIf((key) -> key.customer.equals(customer));
	}

	private Budget budget(PolicyRequest request) {
		return this.budgets.computeIfAbsent(new Key(request.customer(), request.service().name()),
				(key) -> new Budget(this.settings.burst()));
	}

	private record Key(CustomerId customer, ServiceName service) {

	}

	private static final class Budget {

		private final BegunAnswers begunAnswers = new BegunAnswers();

		private double retries;

		Budget(double retries) {
			this.retries = retries;
		}

	}

}
