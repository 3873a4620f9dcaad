package org.vanillatrestle.internal.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.vanillatrestle.VmId;

/**
 * The entry VMs that this VM must share with: those heard of lately and, for a while,
 * those that fell silent, since a VM that is silent may still send.
 * <p>
 * Time in which this VM itself stood still does not count: after it the others are as
 * many as before. Not thread safe.
 */
public final class EntryMemory {

	/**
	 * How long a silent VM keeps its part: as long as the platform takes a VM that was
	 * harmed for out of touch.
	 */
	private static final long MEMORY_NANOS = TimeUnit.SECONDS.toNanos(6);

	/**
	 * Between two looks a few hundred milliseconds pass; after longer this VM stood
	 * still.
	 */
	private static final long STOOD_STILL_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final Map<VmId, Row> rows = new HashMap<>();

	private long lookedNanos;

	/**
	 * Takes the VMs heard of lately.
	 * @param fresh their reports
	 * @param nowNanos the monotonic time
	 * @return the reports of these and of those that fell silent a short while ago
	 */
	public Collection<EntryReport> look(Collection<EntryReport> fresh, long nowNanos) {
		long sinceNanos = nowNanos - this.lookedNanos;
		if (sinceNanos > STOOD_STILL_NANOS) {
			this.rows.replaceAll((vm, row) -> new Row(row.report, row.heardNanos + sinceNanos));
		}
		this.lookedNanos = nowNanos;
		fresh.forEach((report) -> this.rows.put(report.vm(), new Row(report, nowNanos)));
		this.rows.values().removeIf((row) -> nowNanos - row.heardNanos > MEMORY_NANOS);
		return this.rows.values().stream().map(Row::report).toList();
	}

	private record Row(EntryReport report, long heardNanos) {
	}

}
