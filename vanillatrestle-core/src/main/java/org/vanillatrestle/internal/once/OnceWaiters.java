package org.vanillatrestle.internal.once;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.vanillatrestle.OnceKey;

/**
 * Resends that wait for the answer of a claim in progress; not replicated.
 * <p>
 * Not thread safe: to be used by the thread that applies commands. Each waiter is called
 * once, unless it is cancelled before. Never more waiters than the bound.
 */
public final class OnceWaiters implements SettleListener {

	private final int maxWaiters;

	private final Map<OnceKey, List<Runnable>> waiters = new HashMap<>();

	private int size;

	/**
	 * Creates an empty registry.
	 * @param maxWaiters how many resends may wait
	 */
	public OnceWaiters(int maxWaiters) {
		this.maxWaiters = maxWaiters;
	}

	/**
	 * Lets a resend wait. If the claim is settled already, the waiter is called at once.
	 * @param ledger the ledger
	 * @param key the key
	 * @param waiter what to call when the claim is settled
	 * @return whether the waiter was or will be called; {@code false} if too many wait
	 */
	public boolean await(OnceLedger ledger, OnceKey key, Runnable waiter) {
		if (ledger.status(key).knowledge() != KeyStatus.Knowledge.IN_PROGRESS) {
			waiter.run();
			return true;
		}
		if (this.size >= this.maxWaiters) {
			return false;
		}
		this.waiters.computeIfAbsent(key, (id) -> new ArrayList<>(1)).add(waiter);
		this.size++;
		return true;
	}

	/**
	 * Forgets a waiter, for example because its caller went away.
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
	 * Calls every waiter, for example because this replica's state was replaced.
	 */
	public void settleAll() {
		List.copyOf(this.waiters.keySet()).forEach(this::settled);
	}

	@Override
	public void settled(OnceKey key) {
		List<Runnable> waiting = this.waiters.remove(key);
		if (waiting == null) {
			return;
		}
		this.size -= waiting.size();
		waiting.forEach(Runnable::run);
	}

	/**
	 * Returns how many resends wait.
	 * @return the number
	 */
	public int size() {
		return this.size;
	}

}
