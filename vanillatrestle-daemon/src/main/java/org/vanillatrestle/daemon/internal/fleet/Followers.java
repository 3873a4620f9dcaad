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

	/**
	 * The control VMs that tell an entry VM of the others; a second one covers the loss
	 * of the first.
	 */
	private static final int FOLLOWED = 2;

	/**
	 * Control and entry VMs that don't follow one another exchange every second beat,
	 * still three in the time after which a silent VM counts as lost.
	 */
	private static final int BEATS_A_TURN = 2;

	private final Map<VmId, Long> askedNanos = new HashMap<>();

	/**
	 * Tells whether an entry VM follows a control VM.
	 * @param rank how many control VMs are nearer to the entry VM
	 * @return whether it does
	 */
	static boolean follows(int rank) {
		return rank < FOLLOWED;
	}

	/**
	 * Tells whether VMs that don't follow one another exchange a beat too.
	 * @param beat the number of the sender's beat
	 * @return whether they do
	 */
	static boolean isTurnOfOthers(long beat) {
		return beat % BEATS_A_TURN == 0;
	}

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
