package org.vanillatrestle.internal.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.vanillatrestle.VmId;

/**
 * Selects the entry VM reports that a control VM sends with each heartbeat: all of them
 * at regular intervals, and only the changed ones in between.
 * <p>
 * Not thread safe.
 */
public final class EntryReportSelector {

	private final int fullReportInterval;

	private final Map<VmId, EntryReport> lastSent = new HashMap<>();

	private int heartbeats;

	/**
	 * Creates a selector that has sent nothing yet.
	 * @param fullReportInterval the number of heartbeats from one complete set of reports
	 * to the next
	 */
	public EntryReportSelector(int fullReportInterval) {
		this.fullReportInterval = fullReportInterval;
	}

	/**
	 * Selects the reports for the next heartbeat.
	 * @param recent the reports of the VMs heard from recently
	 * @return the reports to send
	 */
	public List<EntryReport> selectNext(List<EntryReport> recent) {
		boolean complete = this.heartbeats % this.fullReportInterval == 0;
		this.heartbeats++;
		List<EntryReport> selected = recent.stream()
			.filter((report) -> complete || !report.equals(this.lastSent.get(report.vm())))
			.toList();
		this.lastSent.clear();
		recent.forEach((report) -> this.lastSent.put(report.vm(), report));
		return selected;
	}

}
