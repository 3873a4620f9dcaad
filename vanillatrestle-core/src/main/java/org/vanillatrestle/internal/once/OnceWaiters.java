package org.vanillatrestle.internal.once;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.vanillatrestle.OnceKey;

/**
 * Registry of resends that wait until a claim in progress is settled. The registry is not
 * replicated.
 * <p>
 * Not thread safe: must only be used by the thread that applies commands. Each waiter is
 * run once, unless it is cancelled first. The number of waiters never exceeds the
 * maximum.
 */
public final class OnceWaiters implements ClaimListener {

	private final int maxWaiters;

	private final Map<OnceKey, List<Runnable>> waiters = new HashMap<>();

	private int size;

	/**
	 * Creates an empty registry.
	 * @param maxWaiters the maximum number of waiting resends
	 */
	public OnceWaiters(int maxWaiters) {
		this.maxWaiters = maxWaiters;
	}

	/**
	 * Registers a waiter for a claim. If the claim is not in progress, the waiter is run
	 * immediately.
	 * @param ledger the ledger
	 * @param key the claim's key
	 * @param waiter the action to run when the claim is settled
	 * @return {@code true} if the waiter was run or registered, {@code false} if the
	 * maximum number of waiters has been reached
	 */
	public boolean register(OnceLedger ledger, OnceKey key, Runnable waiter) {
		if (ledger.status(key).knowledge() != KeyStatus.Knowledge.IN_PROGRESS) {
			waiter.run();
			return true;
		}
		if (this.size >= this.maxWaiters) {
			return false;
		}
		this.waiters.computeIfAbsent(key, (missing) -> new ArrayList<>(1)).add(waiter);
		this.size++;
		return true;
	}

	/**
	 * Removes a waiter without running it, for example because its caller disconnected.
	 * @param key the key
	 * @param waiter the waiter
	 */
	public void cancel(OnceKey key, Runnable waiter) {
		List<Runnable> waiting = this.waiters.get(key);
		if (waiting == null || !waiting.remove(waiter)) {
			return;
		}
		this.size--;
		if (waiting.isEmpty()) {
			this.waiters.remove(key);
		}
	}

	/**
	 * Runs and removes all waiters, for example because this replica's state was
	 * replaced.
	 */
	public void runAllWaiters() {
		List.copyOf(this.waiters.keySet()).forEach(this::claimSettled);
	}

	@Override
	public void claimSettled(OnceKey key) {
		List<Runnable> waiting = this.waiters.remove(key);
		if (waiting == null) {
			return;
		}
		this.size -= waiting.size();
		waiting.forEach(Runnable::run);
	}

	/**
	 * Returns the number of waiting resends.
	 * @return the number of waiters
	 */
	public int size() {
		return this.size;
	}

}
