package org.vanillatrestle.internal.once;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.once.OnceSnapshot.EndedHolder;

/**
 * Keeps, for each VM that has stopped, the lowest incarnation under which it may claim.
 * Without it, a delayed claim of a VM that has stopped could be granted, and resends
 * would wait for an answer that never comes.
 * <p>
 * Not thread safe. Keeps up to {@link #MAX_HOLDERS} VMs and evicts the one that was
 * updated least recently. Eviction is safe: a delayed claim of an evicted VM may be
 * granted, but the call is never run.
 */
final class EndedHolders {

	private static final int MAX_HOLDERS = 10_000;

	private final Map<VmId, Long> minimumIncarnations = new LinkedHashMap<>();

	boolean hasEnded(VmId holder, long incarnation) {
		return incarnation < this.minimumIncarnations.getOrDefault(holder, Long.MIN_VALUE);
	}

	void markEnded(VmId holder, long belowIncarnation) {
		Long previous = this.minimumIncarnations.remove(holder);
		this.minimumIncarnations.put(holder,
				(previous != null) ? Math.max(previous, belowIncarnation) : belowIncarnation);
		if (this.minimumIncarnations.size() > MAX_HOLDERS) {
			this.minimumIncarnations.remove(this.minimumIncarnations.keySet().iterator().next());
		}
	}

	List<EndedHolder> toList() {
		List<EndedHolder> holders = new ArrayList<>();
		this.minimumIncarnations.forEach((holder, incarnation) -> holders.add(new EndedHolder(holder, incarnation)));
		return holders;
	}

	void restore(List<EndedHolder> holders) {
		this.minimumIncarnations.clear();
		holders.forEach((holder) -> this.minimumIncarnations.put(holder.holder(), holder.belowIncarnation()));
	}

}
