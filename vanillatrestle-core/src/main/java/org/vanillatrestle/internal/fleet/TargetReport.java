package org.vanillatrestle.internal.fleet;

import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.internal.target.TargetAddress;

/**
 * A target's report about itself, and the limit that it stated in answers.
 * <p>
 * Immutable and thread safe. Reports of one target are ordered by the start time of the
 * incarnation, then by sequence number.
 *
 * @param target the target
 * @param startedMillis the start time of this incarnation, in milliseconds of Unix time
 * @param sequence the sequence number of the report within the incarnation
 * @param service the service it runs
 * @param address the address at which it accepts requests
 * @param dataCentre the data centre in which it runs
 * @param slots the number of requests that it processes concurrently
 * @param condition whether it accepts requests
 * @param warmUpRemainingMillis the remaining warm-up time in milliseconds, 0 if the
 * target is warm
 * @param limit the request rate that it takes, which only its answers state
 */
public record TargetReport(TargetId target, long startedMillis, long sequence, ServiceName service,
		TargetAddress address, DataCentreId dataCentre, int slots, TargetCondition condition,
		long warmUpRemainingMillis, RequestLimit limit) {

	/**
	 * Creates a report as the target sends it, which contains no limit.
	 * @param target the target
	 * @param startedMillis the start time of this incarnation, in milliseconds of Unix
	 * time
	 * @param sequence the sequence number of the report within the incarnation
	 * @param service the service it runs
	 * @param address the address at which it accepts requests
	 * @param dataCentre the data centre in which it runs
	 * @param slots the number of requests that it processes concurrently
	 * @param condition whether it accepts requests
	 * @param warmUpRemainingMillis the remaining warm-up time in milliseconds, 0 if the
	 * target is warm
	 */
	public TargetReport(TargetId target, long startedMillis, long sequence, ServiceName service, TargetAddress address,
			DataCentreId dataCentre, int slots, TargetCondition condition, long warmUpRemainingMillis) {
		this(target, startedMillis, sequence, service, address, dataCentre, slots, condition, warmUpRemainingMillis,
				RequestLimit.NONE);
	}

	/**
	 * Tells whether this report belongs to an earlier incarnation than the other report,
	 * or to the same incarnation with a lower sequence number.
	 * @param other another report of the same target
	 * @return whether the other report is newer
	 */
	public boolean isOlderThan(TargetReport other) {
		if (this.startedMillis != other.startedMillis) {
			return this.startedMillis < other.startedMillis;
		}
		return this.sequence < other.sequence;
	}

	/**
	 * Returns a copy of this report with another condition.
	 * @param changed the condition
	 * @return the changed report
	 */
	public TargetReport withCondition(TargetCondition changed) {
		return new TargetReport(this.target, this.startedMillis, this.sequence, this.service, this.address,
				this.dataCentre, this.slots, changed, this.warmUpRemainingMillis, this.limit);
	}

	/**
	 * Returns a copy of this report with another remaining warm-up time.
	 * @param millis the remaining warm-up time in milliseconds
	 * @return the changed report
	 */
	public TargetReport withWarmUpRemaining(long millis) {
		return new TargetReport(this.target, this.startedMillis, this.sequence, this.service, this.address,
				this.dataCentre, this.slots, this.condition, millis, this.limit);
	}

	/**
	 * Returns a copy of this report with another limit.
	 * @param changed the limit
	 * @return the changed report
	 */
	public TargetReport withLimit(RequestLimit changed) {
		return new TargetReport(this.target, this.startedMillis, this.sequence, this.service, this.address,
				this.dataCentre, this.slots, this.condition, this.warmUpRemainingMillis, changed);
	}

}
