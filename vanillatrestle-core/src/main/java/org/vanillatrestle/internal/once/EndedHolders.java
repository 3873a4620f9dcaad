package org.vanillatrestle.internal.once;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.once.OnceSnapshot.EndedHolder;

/**
 * The least incarnation under which a VM may claim, so that a claim of a VM that ended is
 * not granted late and then waited for in vain.
 * <p>
 * Not thread safe. Keeps the latest VMs up to a bound. Forgetting one is safe: its late
 * claim is then granted, but never run.
 */
final class EndedHolders {

	private static final int MAX_HOLDERS = 10_000;

	private final Map<VmId, Long> floors = new LinkedHashMap<>();

	boolean hasEnded(VmId holder, long incarnation) {
		return incarnation < this.floors.getOrDefault(holder, Long.MIN_VALUE);
	}

	void end(VmId holder, long belowIncarnation) {
		Long previous = this.floors.remove(holder);
		this.floors.put(holder, (previous != null) ? Math.max(previous, belowIncarnation) : belowIncarnation);
		if (this.floors.size() > MAX_HOLDERS) {
			this.floors.remove(this.floors.keySet().iterator().next());
		}
	}

	List<EndedHolder> toList() {
		List<EndedHolder> holders = new ArrayList<>();
		this.floors.forEach((holder, incarnation) -> holders.add(new EndedHolder(holder, incarnation)));
		return holders;
	}

	void restore(List<EndedHolder> holders) {
		this.floors.clear();
		holders.forEach((holder) -> this.floors.put(holder.holder(), holder.belowIncarnation()));
	}

}
