package org.vanillatrestle.internal.membership;

import java.util.List;

import org.vanillatrestle.DataCentreId;

/**
 * A message with summaries, sent between data centres or within one.
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
	 * A summary with its age and origin.
	 *
	 * @param summary the summary
	 * @param ageMillis the time since it was created, in milliseconds, excluding the
	 * transit time on links
	 * @param direct whether the sender's data centre created it or received it directly
	 * from the data centre that did
	 */
	public record Entry(DataCentreSummary summary, int ageMillis, boolean direct) {

	}

}
