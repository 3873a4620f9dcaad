package org.vanillatrestle.daemon.internal.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.fleet.EntryReport;

/**
 * Holds the latest report of each entry VM that currently counts as up.
 * <p>
 * Not thread safe.
 */
public final class EntryTable {

	/**
	 * A VM without a report for this long counts as lost; several heartbeats arrive
	 * within this period.
	 */
	private static final long REPORT_EXPIRY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_600);

	private final Map<VmId, Row> rows = new HashMap<>();

	/**
	 * Stores a VM's latest report.
	 * @param report the report
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void update(EntryReport report, long nowNanos) {
		this.rows.put(report.vm(), new Row(report, nowNanos));
	}

	/**
	 * Removes a VM.
	 * @param vm the VM
	 */
	public void remove(VmId vm) {
		this.rows.remove(vm);
	}

	/**
	 * Returns the VMs that count as up, and removes the others.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return their latest reports
	 */
	public List<EntryReport> liveReports(long nowNanos) {
		this.rows.values().removeIf((row) -> nowNanos - row.receivedNanos > REPORT_EXPIRY_NANOS);
		return this.rows.values().stream().map(Row::report).toList();
	}

	private record Row(EntryReport report, long receivedNanos) {
	}

}
