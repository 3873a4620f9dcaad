package org.vanillatrestle.internal.membership;

import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.VmId;

/**
 * What this VM knows of another data centre.
 * <p>
 * Not thread safe. Invariant: the summary kept is the one made last of all that came.
 */
final class RemoteDataCentre {

	/**
	 * Time on links is not part of an age, so a copy that went around must look newer by
	 * more than links can take, else it would be taken for news again and again.
	 */
	private static final long DETOUR_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final DataCentreId id;

	private final RegionId region;

	private final Set<VmId> linked = new TreeSet<>();

	private DataCentreSummary summary;

	private long madeNanos;

	private boolean lastDirect;

	private boolean everDirect;

	private long directNanos;

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

	boolean isHeard() {
		return this.summary != null;
	}

	DataCentreSummary summary() {
		return this.summary;
	}

	boolean isLastDirect() {
		return this.lastDirect;
	}

	boolean isDirectWithin(long limitNanos, long nowNanos) {
		return this.everDirect && nowNanos - this.directNanos < limitNanos;
	}

	int ageMillis(long nowNanos) {
		return (int) TimeUnit.NANOSECONDS.toMillis(nowNanos - this.madeNanos);
	}

	SummaryMessage.Entry entry(boolean direct, long nowNanos) {
		return new SummaryMessage.Entry(this.summary, ageMillis(nowNanos), direct);
	}

	/**
	 * Takes a summary that came.
	 * @param entry the summary and its age
	 * @param direct whether it came straight from the data centre
	 * @param nowNanos the monotonic time
	 * @return whether it is newer than the one kept
	 */
	boolean take(SummaryMessage.Entry entry, boolean direct, long nowNanos) {
		long newMadeNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(entry.ageMillis());
		if (direct) {
			this.everDirect = true;
			this.directNanos = nowNanos;
		}
		long marginNanos = (direct) ? 0 : DETOUR_NANOS;
		if (isHeard() && newMadeNanos - this.madeNanos <= marginNanos) {
			return false;
		}
		this.summary = entry.summary();
		this.madeNanos = newMadeNanos;
		this.lastDirect = direct;
		return true;
	}

	void forget(long limitNanos, long nowNanos) {
		if (isHeard() && nowNanos - this.madeNanos > limitNanos) {
			this.summary = null;
		}
	}

	@Override
	public String toString() {
		return this.id.value();
	}

}
