package org.vanillatrestle.internal.quarantine;

import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * What is known of a prompt part that requests held when engines crashed under them.
 * <p>
 * Immutable and thread safe. VMs merge what they know without a common clock, in any
 * order: the greater epoch replaces the lesser, within an epoch knowledge only grows.
 *
 * @param key the part
 * @param epoch 0 if no engine is known to have answered a prompt with the part, else a
 * number that grows each time an answer clears the part
 * @param crashes the length of the longest known sequence of crashes since then, in which
 * each crash hit a request that was sent after the crash before was known
 * @param crashIds the crashes since then at which the part was there, whether in sequence
 * or at once, at most {@link #MAX_CRASH_IDS}
 * @param ageMillis the time since the last change in milliseconds
 */
public record SuspectPart(PartKey key, long epoch, int crashes, SortedSet<Long> crashIds, long ageMillis) {

	/**
	 * Maximum number of crashes that are remembered, several times as many as suspend a
	 * part.
	 */
	static final int MAX_CRASH_IDS = 16;

	private static final SortedSet<Long> NONE = Collections.emptySortedSet();

	public SuspectPart {
		crashIds = crashIds.isEmpty() ? NONE : bounded(crashIds);
	}

	// any choice would do that is the same at all VMs
	private static SortedSet<Long> bounded(SortedSet<Long> ids) {
		SortedSet<Long> kept = new TreeSet<>(ids);
		while (kept.size() > MAX_CRASH_IDS) {
			kept.remove(kept.first());
		}
		return Collections.unmodifiableSortedSet(kept);
	}

	static SuspectPart unsuspected(PartKey key, boolean answeredBefore) {
		return new SuspectPart(key, answeredBefore ? 1 : 0, 0, NONE, 0);
	}

	SuspectPart cleared() {
		return new SuspectPart(this.key, this.epoch + 1, 0, NONE, 0);
	}

	/**
	 * Returns this part after a crash under a request that was sent when this was known.
	 * @param crashId identifies the crash
	 * @return the part with one crash more
	 */
	SuspectPart afterCrash(long crashId) {
		SortedSet<Long> all = new TreeSet<>(this.crashIds);
		all.add(crashId);
		return new SuspectPart(this.key, this.epoch, this.crashes + 1, all, 0);
	}

	// counts a probe as a crash until it succeeds
	SuspectPart afterProbe() {
		return new SuspectPart(this.key, this.epoch, this.crashes + 1, this.crashIds, 0);
	}

	SuspectPart withAge(long millis) {
		return new SuspectPart(this.key, this.epoch, this.crashes, this.crashIds, millis);
	}

	/**
	 * Merges what another VM knows of the part.
	 * @param other the same part, known elsewhere
	 * @return what both know together, with the age of the longer sequence
	 */
	SuspectPart merge(SuspectPart other) {
		if (this.epoch != other.epoch) {
			return (this.epoch > other.epoch) ? this : other;
		}
		SuspectPart longer = (other.crashes > this.crashes) ? other : this;
		SortedSet<Long> all = new TreeSet<>(this.crashIds);
		all.addAll(other.crashIds);
		return new SuspectPart(this.key, this.epoch, longer.crashes, all, longer.ageMillis);
	}

	boolean isSameKnowledge(SuspectPart other) {
		return this.epoch == other.epoch && this.crashes == other.crashes && this.crashIds.equals(other.crashIds);
	}

	/**
	 * Returns whether so many engines crashed in sequence that requests with the part may
	 * be refused.
	 * @return whether the part is suspended unless other parts explain the crashes
	 */
	public boolean isSuspendable() {
		return this.crashes >= PartQuarantine.CRASHES_TO_SUSPEND;
	}

	boolean isAnsweredBefore() {
		return this.epoch > 0;
	}

	/**
	 * Returns whether another part explains the crashes at which both were there at least
	 * as well: it was cleared less often, or else was there at as many crashes.
	 * @param other the other part
	 * @return whether the other part is at least as suspect
	 */
	boolean isNoMoreSuspectThan(SuspectPart other) {
		return (this.epoch != other.epoch) ? other.epoch < this.epoch : other.crashIds.size() >= this.crashIds.size();
	}

}
