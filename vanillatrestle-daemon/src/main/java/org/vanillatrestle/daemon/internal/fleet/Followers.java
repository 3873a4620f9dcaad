package org.vanillatrestle.daemon.internal.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.vanillatrestle.VmId;

/**
 * The entry VMs that asked this control VM to keep them informed.
 * <p>
 * Not thread safe.
 */
final class Followers {

	/**
	 * After this silence a VM is taken to follow another control VM; it asks several
	 * times in it.
	 */
	private static final long FRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

	private final Map<VmId, Long> askedNanos = new HashMap<>();

	void told(VmId vm, boolean follows, long nowNanos) {
		if (follows) {
			this.askedNanos.put(vm, nowNanos);
		}
		else {
			this.askedNanos.remove(vm);
		}
	}

	Set<VmId> fresh(long nowNanos) {
		this.askedNanos.values().removeIf((asked) -> nowNanos - asked > FRESH_NANOS);
		return Set.copyOf(this.askedNanos.keySet());
	}

}
