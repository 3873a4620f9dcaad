package org.vanillatrestle.internal.membership;

import java.util.List;

import org.vanillatrestle.DataCentreId;

/**
 * Summaries on their way, between data centres or within one.
 * <p>
 * Immutable and thread safe.
 *
 * @param from the sender's data centre
 * @param entries the summaries
 */
public record SummaryMessage(DataCentreId from, List<Entry> entries) {

	public SummaryMessage {
		entries = List.copyOf(entries);
	}

	/**
	 * A summary and how it came here.
	 *
	 * @param summary the summary
	 * @param ageMillis the time since it was made, but for the time on links
	 * @param direct whether the sender's data centre made it or has it straight from the
	 * data centre that did
	 */
	public record Entry(DataCentreSummary summary, int ageMillis, boolean direct) {

	}

}
