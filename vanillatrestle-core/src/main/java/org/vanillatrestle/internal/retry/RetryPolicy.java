package org.vanillatrestle.internal.retry;

import java.util.HashMap;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.Verdict;
import org.vanillatrestle.internal.request.PolicyRequest;

/**
 * Decides whether a request gets another attempt, and after which pause.
 * <p>
 * The retries of a customer's service never exceed the budget's share of its requests
 * plus the burst. Not thread safe: owned by the VM's event loop.
 */
public final class RetryPolicy {

	private static final double HUNDRED_PERCENT = 100;

	private final RetrySettings settings;

	private final UniformRandomProvider random;

	private final Map<Key, Budget> budgets = new HashMap<>();

	public RetryPolicy(RetrySettings settings, UniformRandomProvider random) {
		this.settings = settings;
		this.random = random;
	}

	/**
	 * Counts a request towards its service's budget.
	 * @param request the request
	 */
	public void arrived(PolicyRequest request) {
		Budget budget = budget(request);
		budget.retries = Math.min(this.settings.burst(),
				budget.retries + this.settings.budgetPercent() / HUNDRED_PERCENT);
	}

	/**
	 * Decides on another attempt and takes it from the budget.
	 * @param request the request
	 * @param verdict the verdict of all attempts so far
	 * @param attempts the attempts so far
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return whether another attempt may be made
	 */
	public boolean mayRetry(PolicyRequest request, Verdict verdict, int attempts, long nowNanos) {
		boolean permitted = verdict.permitsRepeat(request.repeat()) && attempts < this.settings.maxAttempts();
		if (!permitted || request.deadlineNanos() - nowNanos <= this.settings.backoffNanos()) {
			return false;
		}
		Budget budget = budget(request);
		if (budget.retries < 1) {
			return false;
		}
		budget.retries--;
		return true;
	}

	/**
	 * Returns the pause before the next attempt.
	 * @param attempts the attempts so far, 1 or more
	 * @return nanoseconds, between half and one and a half of the mean
	 */
	public long backoffNanos(int attempts) {
		int doublings = Math.min(20, Math.max(0, attempts - 1));
		long meanNanos = Math.min(this.settings.maxBackoffNanos(), this.settings.backoffNanos() << doublings);
		return (long) (meanNanos * (0.5 + this.random.nextDouble()));
	}

	/**
	 * Forgets a customer's budgets.
	 * @param customer the customer
	 */
	public void removed(CustomerId customer) {
		this.budgets.keySet().removeIf((key) -> key.customer.equals(customer));
	}

	private Budget budget(PolicyRequest request) {
		return this.budgets.computeIfAbsent(new Key(request.customer(), request.service().name()),
				(key) -> new Budget(this.settings.burst()));
	}

	private record Key(CustomerId customer, ServiceName service) {

	}

	private static final class Budget {

		private double retries;

		Budget(double retries) {
			this.retries = retries;
		}

	}

}
