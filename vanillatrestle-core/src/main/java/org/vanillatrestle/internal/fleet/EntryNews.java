package org.vanillatrestle.internal.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.vanillatrestle.VmId;

/**
 * Picks the entry VMs that a control VM tells of with each beat: all of them now and
 * then, in between those that changed.
 * <p>
 * Not thread safe.
 */
public final class EntryNews {

	private final int completeBeats;

	private final Map<VmId, EntryReport> told = new HashMap<>();

	private int beats;

	/**
	 * Creates a picker.
	 * @param completeBeats every how many beats all VMs are told
	 */
	public EntryNews(int completeBeats) {
		this.completeBeats = completeBeats;
	}

	/**
	 * Picks the reports of the next beat.
	 * @param fresh the VMs heard of lately
	 * @return the reports to tell
	 */
	public List<EntryReport> next(List<EntryReport> fresh) {
		boolean complete = this.beats % this.completeBeats == 0;
		this.beats++;
		List<EntryReport> news = fresh.stream()
			.filter((report) -> complete || !report.equals(this.told.get(report.vm())))
			.toList();
		this.told.clear();
		fresh.forEach((report) -> this.told.put(report.vm(), report));
		return news;
	}

}
