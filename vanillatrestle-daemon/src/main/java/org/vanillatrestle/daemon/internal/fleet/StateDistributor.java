package org.vanillatrestle.daemon.internal.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.vanillatrestle.VmId;
import org.vanillatrestle.daemon.internal.logging.EventKind;
import org.vanillatrestle.daemon.internal.logging.EventLog;
import org.vanillatrestle.internal.declaration.DeclaredState;
import org.vanillatrestle.internal.fleet.StatePushScheduler;
import org.vanillatrestle.wire.FleetNews;

/**
 * Sends the declared state of a control VM to the entry VMs that lack it.
 * <p>
 * Confined to the VM's event loop.
 */
final class StateDistributor {

	private final FleetLinks links;

	private final StatePushScheduler pushes = new StatePushScheduler();

	private final Map<VmId, Receiver> receivers = new HashMap<>();

	private long index = DeclaredState.NONE.index();

	private byte[] encodedState = new byte[0];

	StateDistributor(FleetLinks links) {
		this.links = links;
	}

	/**
	 * Distributes a newer state.
	 * @param state the state
	 * @param nowNanos the monotonic time
	 */
	void update(DeclaredState state, long nowNanos) {
		this.index = state.index();
		this.encodedState = FleetLinks.encode(new FleetNews.Declared(state));
		this.pushes.stateChanged(state.index(), nowNanos);
		this.receivers.forEach((vm, receiver) -> pushIfDue(vm, receiver, nowNanos));
	}

	/**
	 * Processes the heartbeat of an entry VM.
	 * @param vm the entry VM
	 * @param beat the heartbeat
	 * @param nowNanos the monotonic time
	 */
	void update(VmId vm, FleetNews.EntryBeat beat, long nowNanos) {
		Receiver receiver = new Receiver(beat.rank(), beat.declaredIndex());
		this.receivers.put(vm, receiver);
		pushIfDue(vm, receiver, nowNanos);
	}

	/**
	 * Removes a VM to which there is no longer a link.
	 * @param vm the VM
	 */
	void remove(VmId vm) {
		this.pushes.remove(vm);
		this.receivers.remove(vm);
	}

	/**
	 * Counts the connected entry VMs that have lacked a state for longer than a state
	 * takes to spread.
	 * @param nowNanos the monotonic time
	 * @return their number
	 */
	int countBehind(long nowNanos) {
		return (int) this.receivers.values()
			.stream()
			.filter((receiver) -> this.pushes.isBehind(receiver.knownIndex(), nowNanos))
			.count();
	}

	private void pushIfDue(VmId vm, Receiver receiver, long nowNanos) {
		if (!this.pushes.isDue(vm, receiver.rank(), receiver.knownIndex(), nowNanos)) {
			return;
		}
		if (receiver.rank() > 0) {
			EventLog.write(EventKind.DECLARED_SENT, "to", vm, "rank", receiver.rank(), "index", this.index,
					"knownIndex", receiver.knownIndex(), "lagMillis",
					TimeUnit.NANOSECONDS.toMillis(this.pushes.lagNanos(receiver.knownIndex(), nowNanos)));
		}
		this.links.send(vm, this.encodedState);
	}

	/**
	 * An entry VM as of its last heartbeat.
	 *
	 * @param rank the number of control VMs that are nearer to it
	 * @param knownIndex the index of its state
	 */
	private record Receiver(int rank, long knownIndex) {
	}

}
