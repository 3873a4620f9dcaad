package org.vanillatrestle.daemon.internal.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.fleet.EntryReport;

/**
 * The entry VMs heard of lately.
 * <p>
 * Not thread safe.
 */
public final class EntryTable {

	/**
	 * After this silence a VM counts as lost; beats come several times in it.
	 */
	private static final long FRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(1_600);

	private final Map<VmId, Row> rows = new HashMap<>();

	/**
	 * Takes a report.
	 * @param report the report
	 * @param nowNanos the monotonic time
	 */
	public void heard(EntryReport report, long nowNanos) {
		this.rows.put(report.vm(), new Row(report, nowNanos));
	}

	/**
	 * Forgets a VM.
	 * @param vm the VM
	 */
	public void forget(VmId vm) {
		this.rows.remove(vm);
	}

	/**
	 * Returns the VMs heard of lately.
	 * @param nowNanos the monotonic time
	 * @return their last reports
	 */
	public List<EntryReport> fresh(long nowNanos) {
		this.rows.values().removeIf((row) -> nowNanos - row.nanos > FRESH_NANOS);
		return this.rows.values().stream().map(Row::report).toList();
	}

	private record Row(EntryReport report, long nanos) {
	}

}
