package org.vanillatrestle.internal.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.vanillatrestle.VmId;

/**
 * Tracks the entry VMs with which this VM shares target capacity: those that reported
 * recently and, for a limited time, those that stopped reporting, which may still send
 * requests.
 * <p>
 * Time during which this VM itself was paused does not count towards the age of a report,
 * so no VM expires because of such a pause. Not thread safe.
 */
public final class EntryLivenessTracker {

	/**
	 * How long a VM without new reports keeps its share of the capacity. Equals the time
	 * for which the platform treats a failed VM as unreachable.
	 */
	private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(6);

	/**
	 * Updates are a few hundred milliseconds apart; a longer gap means that this VM was
	 * paused.
	 */
	private static final long PAUSE_THRESHOLD_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final Map<VmId, Row> rows = new HashMap<>();

	private long lastUpdateNanos;

	/**
	 * Merges the reports of the VMs heard from recently.
	 * @param recent the recent reports
	 * @param nowNanos the monotonic time
	 * @return the recent reports and the last reports of VMs that have not expired yet
	 */
	public Collection<EntryReport> update(Collection<EntryReport> recent, long nowNanos) {
		long elapsedNanos = nowNanos - this.lastUpdateNanos;
		if (elapsedNanos > PAUSE_THRESHOLD_NANOS) {
			this.rows.replaceAll((vm, row) -> new Row(row.report, row.receivedNanos + elapsedNanos));
		}
		this.lastUpdateNanos = nowNanos;
		recent.forEach((report) -> this.rows.put(report.vm(), new Row(report, nowNanos)));
		this.rows.values().removeIf((row) -> nowNanos - row.receivedNanos > RETENTION_NANOS);
		return this.rows.values().stream().map(Row::report).toList();
	}

	private record Row(EntryReport report, long receivedNanos) {
	}

}
