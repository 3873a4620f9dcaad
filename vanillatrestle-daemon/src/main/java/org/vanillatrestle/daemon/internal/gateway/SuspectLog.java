package org.vanillatrestle.daemon.internal.gateway;

import java.util.List;

import org.vanillatrestle.daemon.internal.logging.EventKind;
import org.vanillatrestle.daemon.internal.logging.EventLog;
import org.vanillatrestle.internal.quarantine.SuspectListener;
import org.vanillatrestle.internal.quarantine.SuspectPart;

/**
 * Logs what becomes known of suspect prompt parts, and passes on what this VM observes.
 * <p>
 * Thread safe if the listener is.
 */
final class SuspectLog implements SuspectListener {

	private final SuspectListener next;

	SuspectLog(SuspectListener next) {
		this.next = next;
	}

	@Override
	public void suspectsChanged(List<SuspectPart> changed) {
		write(changed);
		this.next.suspectsChanged(changed);
	}

	/**
	 * Logs those of the parts reported by other VMs that are suspended. What is less
	 * certain is logged by the VM that observed it.
	 * @param reported the parts
	 */
	static void writeReported(List<SuspectPart> reported) {
		write(reported.stream().filter(SuspectPart::isSuspendable).toList());
	}

	private static void write(List<SuspectPart> parts) {
		parts.forEach((part) -> EventLog.write(kind(part), "service", part.key().service(), "part", part.key().part(),
				"crashes", part.crashes(), "epoch", part.epoch(), "presentAt", part.crashIds().size()));
	}

	private static EventKind kind(SuspectPart part) {
		if (part.crashes() == 0) {
			return EventKind.PART_CLEARED;
		}
		return part.isSuspendable() ? EventKind.PART_SUSPENDED : EventKind.PART_SUSPECTED;
	}

}
