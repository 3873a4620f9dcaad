package org.vanillatrestle.internal.fleet;

import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.internal.target.TargetAddress;

/**
 * A target's report of itself.
 * <p>
 * Immutable and thread safe. Reports of one target are ordered by the time of its start,
 * then by their sequence.
 *
 * @param target the target
 * @param bornMillis when this incarnation started, in Unix time
 * @param sequence the number of the report within the incarnation
 * @param service the service it runs
 * @param address where it takes requests
 * @param dataCentre where it stands
 * @param slots the requests that it runs at the same time
 * @param condition whether it takes requests
 * @param coldLeftMillis how much longer it stays cold, 0 if it is warm
 */
public record TargetReport(TargetId target, long bornMillis, long sequence, ServiceName service, TargetAddress address,
		DataCentreId dataCentre, int slots, TargetCondition condition, long coldLeftMillis) {

	/**
	 * Tells whether this report is of an earlier incarnation, or of the same one and
	 * older.
	 * @param other another report of the same target
	 * @return whether the other report is newer
	 */
	public boolean isOlderThan(TargetReport other) {
		if (this.bornMillis != other.bornMillis) {
			return this.bornMillis < other.bornMillis;
		}
		return this.sequence < other.sequence;
	}

	/**
	 * The same report with another condition.
	 * @param changed the condition
	 * @return the changed report
	 */
	public TargetReport with(TargetCondition changed) {
		return new TargetReport(this.target, this.bornMillis, this.sequence, this.service, this.address,
				this.dataCentre, this.slots, changed, this.coldLeftMillis);
	}

	/**
	 * The same report with another time to stay cold.
	 * @param millis how much longer the target stays cold
	 * @return the changed report
	 */
	public TargetReport withColdLeft(long millis) {
		return new TargetReport(this.target, this.bornMillis, this.sequence, this.service, this.address,
				this.dataCentre, this.slots, this.condition, millis);
	}

}
