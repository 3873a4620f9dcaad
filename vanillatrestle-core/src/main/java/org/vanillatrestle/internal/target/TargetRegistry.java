package org.vanillatrestle.internal.target;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.vanillatrestle.CustomerId;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.ModelName;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.TargetId;

/**
 * Registry of the targets of one data centre that have announced themselves. A target is
 * live for the TTL after its latest announcement.
 * <p>
 * An announcement never replaces a newer one. {@code leaving} takes effect immediately
 * and stays in effect for the rest of the incarnation. Not thread safe: owned by the VM's
 * event loop.
 */
public final class TargetRegistry {

	private final DataCentreId dataCentre;

	private final long ttlNanos;

	private final Map<TargetId, Entry> entries = new HashMap<>();

	private long version;

	/**
	 * Creates an empty registry.
	 * @param dataCentre the data centre whose targets are accepted
	 * @param ttlNanos how long an announcement is valid, in nanoseconds
	 */
	public TargetRegistry(DataCentreId dataCentre, long ttlNanos) {
		this.dataCentre = dataCentre;
		this.ttlNanos = ttlNanos;
	}

	/**
	 * Processes an announcement, received from the target itself or relayed by another
	 * VM.
	 * @param announcement the announcement
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the result
	 */
	public AnnouncementOutcome announce(Announcement announcement, long nowNanos) {
		if (!announcement.dataCentre().equals(this.dataCentre)) {
			return AnnouncementOutcome.WRONG_DATA_CENTRE;
		}
		Entry known = this.entries.get(announcement.target());
		if (known != null && announcement.incarnation() < known.announcement.incarnation()) {
			return AnnouncementOutcome.OLDER_INCARNATION;
		}
		if (known != null && !announcement.supersedes(known.announcement)) {
			return AnnouncementOutcome.STALE;
		}
		boolean sameIncarnation = known != null && known.announcement.incarnation() == announcement.incarnation();
		boolean leaving = announcement.leaving() || (sameIncarnation && known.leaving);
		this.entries.put(announcement.target(), new Entry(announcement, leaving, nowNanos));
		this.version++;
		return AnnouncementOutcome.ACCEPTED;
	}

	/**
	 * Returns a version number that increases with each accepted announcement.
	 * @return the version number
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the number of remembered targets, expired ones included.
	 * @return the number of targets
	 */
	public int size() {
		return this.entries.size();
	}

	/**
	 * Lists the targets that may receive a given new request.
	 * @param customer the request's customer
	 * @param service the request's service
	 * @param model the requested model, empty for a plain service
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the announcements of live targets that serve the request and are not
	 * leaving
	 */
	public List<Announcement> candidates(CustomerId customer, ServiceName service, Optional<ModelName> model,
			long nowNanos) {
		List<Announcement> result = new ArrayList<>();
		for (Entry entry : this.entries.values()) {
			if (isLive(entry, nowNanos) && !entry.leaving && entry.announcement.serves(customer, service, model)) {
				result.add(entry.announcement);
			}
		}
		return result;
	}

	/**
	 * Lists the targets that may receive new requests, regardless of the customer.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the announcements of live targets that are not leaving
	 */
	public List<Announcement> availableTargets(long nowNanos) {
		List<Announcement> result = new ArrayList<>();
		for (Entry entry : this.entries.values()) {
			if (isLive(entry, nowNanos) && !entry.leaving) {
				result.add(entry.announcement);
			}
		}
		return result;
	}

	/**
	 * Lists the live targets, leaving ones included.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return their latest announcements
	 */
	public Collection<Announcement> liveTargets(long nowNanos) {
		return this.entries.values()
			.stream()
			.filter((entry) -> isLive(entry, nowNanos))
			.map((entry) -> entry.announcement)
			.toList();
	}

	/**
	 * Removes expired targets after the retention period. Until then their incarnation
	 * numbers are kept, to reject announcements of older incarnations.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @param retentionNanos how long an expired target is kept, in nanoseconds
	 */
	public void forgetExpired(long nowNanos, long retentionNanos) {
		this.entries.values().removeIf((entry) -> nowNanos - entry.receivedNanos > this.ttlNanos + retentionNanos);
	}

	private boolean isLive(Entry entry, long nowNanos) {
		return nowNanos - entry.receivedNanos <= this.ttlNanos;
	}

	private record Entry(Announcement announcement, boolean leaving, long receivedNanos) {

	}

}
