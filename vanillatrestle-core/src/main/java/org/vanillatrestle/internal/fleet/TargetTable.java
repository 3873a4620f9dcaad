package org.vanillatrestle.internal.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.vanillatrestle.TargetId;
import org.vanillatrestle.internal.target.TargetAddress;

/**
 * The targets known to a VM, merged from reports that may arrive late, more than once or
 * out of order.
 * <p>
 * Invariants: an incarnation that is draining or gone never returns to an earlier
 * condition, whatever later reports say, and keeps the latest limit that it stated; of
 * the targets that reported the same address, at most one is not gone, and a target that
 * started earlier never replaces it. Not thread safe.
 */
public final class TargetTable {

	/**
	 * How long an incarnation that is gone is kept, so that late reports of it are
	 * recognised as outdated.
	 */
	private static final long GONE_RETENTION_NANOS = TimeUnit.MINUTES.toNanos(5);

	private final Map<TargetId, Row> rows = new HashMap<>();

	private final Map<TargetAddress, TargetId> byAddress = new HashMap<>();

	/**
	 * Merges a report.
	 * @param report the report
	 * @param nowNanos the monotonic time
	 * @return the reports that changed the table, in the order of the changes
	 */
	public List<TargetReport> merge(TargetReport report, long nowNanos) {
		Row row = this.rows.get(report.target());
		if (row != null && isOutdated(row.report, report)) {
			return List.of();
		}
		List<TargetReport> changes = new ArrayList<>();
		TargetReport kept = (row != null) ? row.merge(report, nowNanos) : report;
		if (kept.condition() == TargetCondition.GONE || !claimAddress(kept, nowNanos, changes)) {
			kept = gone(kept);
		}
		boolean changed = row == null || isChange(row, kept, nowNanos);
		if (row != null && !row.report.address().equals(kept.address())) {
			this.byAddress.remove(row.report.address(), report.target());
		}
		this.rows.put(report.target(), new Row(kept, nowNanos));
		if (kept.condition() == TargetCondition.GONE) {
			this.byAddress.remove(kept.address(), kept.target());
		}
		if (changed) {
			changes.add(kept);
		}
		return changes;
	}

	private static boolean isOutdated(TargetReport known, TargetReport report) {
		if (known.startedMillis() == report.startedMillis()) {
			boolean advances = report.condition().compareTo(known.condition()) > 0;
			boolean changesLimit = !known.limit().orLater(report.limit()).equals(known.limit());
			return known.condition() == TargetCondition.GONE
					|| (report.isOlderThan(known) && !advances && !changesLimit);
		}
		return report.isOlderThan(known);
	}

	private static TargetReport gone(TargetReport report) {
		return report.withCondition(TargetCondition.GONE).withLimit(RequestLimit.NONE);
	}

	private boolean claimAddress(TargetReport report, long nowNanos, List<TargetReport> changes) {
		TargetId holder = this.byAddress.get(report.address());
		if (holder != null && !holder.equals(report.target())) {
			TargetReport other = this.rows.get(holder).report;
			if (other.startedMillis() > report.startedMillis()) {
				return false;
			}
			TargetReport gone = gone(other);
			this.rows.put(holder, new Row(gone, nowNanos));
			changes.add(gone);
		}
		this.byAddress.put(report.address(), report.target());
		return true;
	}

	private static boolean isChange(Row row, TargetReport report, long nowNanos) {
		TargetReport known = row.report;
		boolean warmUpChanged = (row.warmUpRemainingMillis(nowNanos) > 0) != (report.warmUpRemainingMillis() > 0);
		return known.startedMillis() != report.startedMillis() || known.condition() != report.condition()
				|| warmUpChanged || !known.address().equals(report.address())
				|| !known.service().equals(report.service()) || !known.limit().equals(report.limit());
	}

	/**
	 * Records that a target has left.
	 * @param target the target
	 * @param nowNanos the monotonic time
	 * @return the changed report, empty if the target is unknown or already gone
	 */
	public Optional<TargetReport> markGone(TargetId target, long nowNanos) {
		return advance(target, TargetCondition.GONE, nowNanos);
	}

	/**
	 * Records that an incarnation of a target announced in an answer that it is shutting
	 * down.
	 * @param target the target
	 * @param startedMillis the start time of the incarnation, in milliseconds of Unix
	 * time
	 * @param nowNanos the monotonic time
	 * @return the changed report, empty if the target is already draining or gone, or the
	 * incarnation is not the latest one
	 */
	public Optional<TargetReport> markDraining(TargetId target, long startedMillis, long nowNanos) {
		return isLatest(target, startedMillis) ? advance(target, TargetCondition.DRAINING, nowNanos) : Optional.empty();
	}

	/**
	 * Records that an incarnation of a target has ended without a report.
	 * @param target the target
	 * @param startedMillis the start time of the incarnation, in milliseconds of Unix
	 * time
	 * @param nowNanos the monotonic time
	 * @return the changed report, empty if the target is already gone, or the incarnation
	 * is not the latest one
	 */
	public Optional<TargetReport> markGone(TargetId target, long startedMillis, long nowNanos) {
		return isLatest(target, startedMillis) ? markGone(target, nowNanos) : Optional.empty();
	}

	private boolean isLatest(TargetId target, long startedMillis) {
		Row row = this.rows.get(target);
		return row != null && row.report.startedMillis() == startedMillis;
	}

	/**
	 * Records the limit that an incarnation of a target stated in an answer.
	 * @param target the target
	 * @param startedMillis the start time of the incarnation, in milliseconds of Unix
	 * time
	 * @param requestsPerSecond the rate that it takes from all VMs together, in requests
	 * per second, {@link Double#POSITIVE_INFINITY} if there is no limit
	 * @param nowNanos the monotonic time
	 * @return the changed report, empty if the limit is known already, or the incarnation
	 * is gone or not the latest one
	 */
	public Optional<TargetReport> changeLimit(TargetId target, long startedMillis, double requestsPerSecond,
			long nowNanos) {
		Row row = this.rows.get(target);
		if (row == null || row.report.startedMillis() != startedMillis
				|| !row.report.limit().isChangedBy(requestsPerSecond)) {
			return Optional.empty();
		}
		RequestLimit changed = row.report.limit().changedTo(requestsPerSecond);
		return merge(row.current(nowNanos).withLimit(changed), nowNanos).stream().findFirst();
	}

	private Optional<TargetReport> advance(TargetId target, TargetCondition condition, long nowNanos) {
		Row row = this.rows.get(target);
		if (row == null || row.report.condition().compareTo(condition) >= 0) {
			return Optional.empty();
		}
		return merge(row.current(nowNanos).withCondition(condition), nowNanos).stream().findFirst();
	}

	/**
	 * Returns the reports of all known targets, with the remaining warm-up times updated
	 * to the current time.
	 * @param nowNanos the monotonic time
	 * @return a copy of the reports
	 */
	public List<TargetReport> reports(long nowNanos) {
		Collection<Row> known = this.rows.values();
		known.removeIf((row) -> row.report.condition() == TargetCondition.GONE
				&& nowNanos - row.receivedNanos > GONE_RETENTION_NANOS);
		return known.stream().map((row) -> row.current(nowNanos)).toList();
	}

	/**
	 * Finds the latest report of a target.
	 * @param target the target
	 * @return the report
	 */
	public Optional<TargetReport> find(TargetId target) {
		return Optional.ofNullable(this.rows.get(target)).map((row) -> row.report);
	}

	/**
	 * A report and the monotonic time at which it arrived.
	 */
	private record Row(TargetReport report, long receivedNanos) {

		TargetReport current(long nowNanos) {
			return this.report.withWarmUpRemaining(warmUpRemainingMillis(nowNanos));
		}

		// an older report of the same incarnation contributes only a later condition or
		// limit
		TargetReport merge(TargetReport newer, long nowNanos) {
			if (this.report.startedMillis() != newer.startedMillis()) {
				return newer;
			}
			TargetReport base = newer.isOlderThan(this.report) ? current(nowNanos) : newer;
			return base.withCondition(this.report.condition().orLater(newer.condition()))
				.withLimit(this.report.limit().orLater(newer.limit()));
		}

		long warmUpRemainingMillis(long nowNanos) {
			return Math.max(0,
					this.report.warmUpRemainingMillis() - TimeUnit.NANOSECONDS.toMillis(nowNanos - this.receivedNanos));
		}

	}

}
