package org.vanillatrestle.internal.membership;

import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.VmId;

/**
 * The state that this VM keeps about another data centre.
 * <p>
 * Not thread safe. Invariant: a summary is replaced only by one that was created later.
 */
final class RemoteDataCentre {

	/**
	 * Minimum difference in creation time for an indirect copy to replace the kept
	 * summary. The age of a summary excludes the transit time on links, so an indirect
	 * copy appears newer than it is; without this margin the same summary would be
	 * accepted as new repeatedly.
	 */
	private static final long INDIRECT_MARGIN_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final DataCentreId id;

	private final RegionId region;

	private final Set<VmId> linked = new TreeSet<>();

	private DataCentreSummary summary;

	private long createdNanos;

	private boolean summaryDirect;

	private boolean heardDirectly;

	private long lastDirectNanos;

	RemoteDataCentre(DataCentreId id, RegionId region) {
		this.id = id;
		this.region = region;
	}

	RegionId region() {
		return this.region;
	}

	Set<VmId> linked() {
		return this.linked;
	}

	boolean hasSummary() {
		return this.summary != null;
	}

	DataCentreSummary summary() {
		return this.summary;
	}

	boolean isSummaryDirect() {
		return this.summaryDirect;
	}

	boolean isHeardDirectlyWithin(long maxAgeNanos, long nowNanos) {
		return this.heardDirectly && nowNanos - this.lastDirectNanos < maxAgeNanos;
	}

	int ageMillis(long nowNanos) {
		return (int) TimeUnit.NANOSECONDS.toMillis(nowNanos - this.createdNanos);
	}

	SummaryMessage.Entry entry(boolean direct, long nowNanos) {
		return new SummaryMessage.Entry(this.summary, ageMillis(nowNanos), direct);
	}

	/**
	 * Processes a received summary.
	 * @param entry the summary and its age
	 * @param direct whether it came directly from the data centre
	 * @param nowNanos the monotonic time
	 * @return whether it replaced the kept summary
	 */
	boolean accept(SummaryMessage.Entry entry, boolean direct, long nowNanos) {
		long newCreatedNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(entry.ageMillis());
		if (direct) {
			this.heardDirectly = true;
			this.lastDirectNanos = nowNanos;
		}
		long marginNanos = (direct) ? 0 : INDIRECT_MARGIN_NANOS;
		if (hasSummary() && newCreatedNanos - this.createdNanos <= marginNanos) {
			return false;
		}
		this.summary = entry.summary();
		this.createdNanos = newCreatedNanos;
		this.summaryDirect = direct;
		return true;
	}

	void discardIfOlder(long maxAgeNanos, long nowNanos) {
		if (hasSummary() && nowNanos - this.createdNanos > maxAgeNanos) {
			this.summary = null;
		}
	}

	@Override
	public String toString() {
		return this.id.value();
	}

}
