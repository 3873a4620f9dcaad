package org.vanillatrestle.daemon.internal.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.vanillatrestle.TargetId;
import org.vanillatrestle.internal.target.Announcement;
import org.vanillatrestle.internal.target.TargetLoad;
import org.vanillatrestle.internal.target.TargetRegistry;
import org.vanillatrestle.wire.PeerException;
import org.vanillatrestle.wire.TargetCodec;
import org.vanillatrestle.wire.TargetNews;

/**
 * Relays the announcements that targets made to this VM to the other VMs of its data
 * centre, and receives the announcements that they relay.
 * <p>
 * Not thread safe: used on the event loop. Invariants: an announcement received from
 * another VM is not relayed again; an announcement that a target is new or leaving is
 * sent immediately; a load is sent without the rest of its announcement only if the rest
 * was sent within the last 30 seconds; each announcement is sent with its age, so that
 * relaying it does not extend the target's time to live.
 */
final class TargetExchange {

	private static final long FULL_ANNOUNCEMENT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(30);

	private static final long RETENTION_NANOS = TimeUnit.MINUTES.toNanos(5);

	private static final int MAX_TARGETS = 4096;

	private final TargetRegistry registry;

	private final Consumer<byte[]> broadcast;

	private final Map<TargetId, RelayedAnnouncement> relayed = new HashMap<>();

	private final Map<TargetId, ReceivedAnnouncement> pending = new LinkedHashMap<>();

	private final Map<Integer, PeerAnnouncement> peerAnnouncements = new HashMap<>();

	TargetExchange(TargetRegistry registry, Consumer<byte[]> broadcast) {
		this.registry = registry;
		this.broadcast = broadcast;
	}

	/**
	 * Queues an announcement that a target made to this VM and that its registry
	 * accepted, and sends it immediately if the target is new or its leaving state
	 * changed.
	 * @param announcement the announcement
	 * @param nowNanos the monotonic time
	 */
	void announced(Announcement announcement, long nowNanos) {
		if (this.relayed.size() >= MAX_TARGETS && !this.relayed.containsKey(announcement.target())) {
			return;
		}
		this.pending.put(announcement.target(), new ReceivedAnnouncement(announcement, nowNanos));
		RelayedAnnouncement previous = this.relayed.get(announcement.target());
		if (previous == null || previous.full.leaving() != announcement.leaving()) {
			flush(nowNanos);
		}
	}

	/**
	 * Sends the announcements that were queued since the last call.
	 * @param nowNanos the monotonic time
	 */
	void flush(long nowNanos) {
		if (this.pending.isEmpty()) {
			return;
		}
		List<TargetNews.Full> full = new ArrayList<>();
		List<TargetNews.Load> loads = new ArrayList<>();
		for (ReceivedAnnouncement queued : this.pending.values()) {
			if (needsFull(queued.announcement, nowNanos)) {
				full.add(queued.full(nowNanos));
				this.relayed.put(queued.announcement.target(),
						new RelayedAnnouncement(queued.announcement, nowNanos, queued));
			}
			else {
				loads.add(queued.load(nowNanos));
				this.relayed.computeIfPresent(queued.announcement.target(),
						(target, previous) -> new RelayedAnnouncement(previous.full, previous.sentNanos, queued));
			}
		}
		this.pending.clear();
		this.broadcast.accept(TargetCodec.encode(new TargetNews(full, loads)));
	}

	/**
	 * Returns the announcements that a newly linked VM needs.
	 * @param nowNanos the monotonic time
	 * @return the latest announcement of each relayed target, encoded in full
	 */
	byte[] encodeAll(long nowNanos) {
		List<TargetNews.Full> full = this.relayed.values()
			.stream()
			.map((entry) -> entry.latest.full(nowNanos))
			.toList();
		return TargetCodec.encode(new TargetNews(full, List.of()));
	}

	/**
	 * Removes relayed targets whose last full announcement was sent more than five
	 * minutes ago, and received targets that were last announced more than five minutes
	 * ago.
	 * @param nowNanos the monotonic time
	 */
	void removeExpired(long nowNanos) {
		this.relayed.values().removeIf((entry) -> nowNanos - entry.sentNanos > RETENTION_NANOS);
		this.peerAnnouncements.values().removeIf((entry) -> nowNanos - entry.receivedNanos > RETENTION_NANOS);
	}

	/**
	 * Receives announcements that another VM relayed.
	 * @param payload the encoded announcements
	 * @param nowNanos the monotonic time
	 * @throws PeerException if the payload can't be decoded
	 */
	void receive(byte[] payload, long nowNanos) throws PeerException {
		TargetNews news = TargetCodec.decode(payload);
		for (TargetNews.Full full : news.full()) {
			storeIfNewer(full.announcement(), nowNanos);
			this.registry.announce(full.announcement(), announcedNanos(full.ageMillis(), nowNanos));
		}
		for (TargetNews.Load load : news.loads()) {
			PeerAnnouncement entry = this.peerAnnouncements.get(load.key());
			if (entry != null) {
				entry.receivedNanos = nowNanos;
				this.registry.announce(withLoad(entry.announcement, load.sequence(), load.load()),
						announcedNanos(load.ageMillis(), nowNanos));
			}
		}
	}

	private static long announcedNanos(int ageMillis, long nowNanos) {
		return nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMillis);
	}

	private void storeIfNewer(Announcement announcement, long nowNanos) {
		int key = TargetNews.key(announcement.target(), announcement.incarnation());
		PeerAnnouncement previous = this.peerAnnouncements.get(key);
		boolean outdated = previous != null && previous.announcement.target().equals(announcement.target())
				&& !announcement.supersedes(previous.announcement);
		if (!outdated && (previous != null || this.peerAnnouncements.size() < MAX_TARGETS)) {
			this.peerAnnouncements.put(key, new PeerAnnouncement(announcement, nowNanos));
		}
	}

	private boolean needsFull(Announcement announcement, long nowNanos) {
		RelayedAnnouncement previous = this.relayed.get(announcement.target());
		if (previous == null || nowNanos - previous.sentNanos >= FULL_ANNOUNCEMENT_INTERVAL_NANOS) {
			return true;
		}
		Announcement sameLoad = withLoad(previous.full, announcement.sequence(), announcement.load());
		return !sameLoad.equals(announcement);
	}

	private static Announcement withLoad(Announcement base, long sequence, TargetLoad load) {
		return new Announcement(base.target(), base.dataCentre(), base.incarnation(), sequence, base.kind(),
				base.customer(), base.service(), base.models(), base.address(), base.capacity(), load, base.leaving(),
				base.canResumeStreams());
	}

	/**
	 * An announcement that a target made to this VM, with the time of its arrival.
	 */
	private record ReceivedAnnouncement(Announcement announcement, long receivedNanos) {

		TargetNews.Full full(long nowNanos) {
			return new TargetNews.Full(this.announcement, ageMillis(nowNanos));
		}

		TargetNews.Load load(long nowNanos) {
			int key = TargetNews.key(this.announcement.target(), this.announcement.incarnation());
			return new TargetNews.Load(key, this.announcement.sequence(), this.announcement.load(),
					ageMillis(nowNanos));
		}

		private int ageMillis(long nowNanos) {
			return (int) TimeUnit.NANOSECONDS.toMillis(nowNanos - this.receivedNanos);
		}

	}

	/**
	 * The last announcement of a target that was sent in full, the time at which it was
	 * sent, and the latest announcement of the target.
	 */
	private record RelayedAnnouncement(Announcement full, long sentNanos, ReceivedAnnouncement latest) {

	}

	/**
	 * An announcement received in full from another VM, with the time at which the last
	 * announcement of its target arrived.
	 */
	private static final class PeerAnnouncement {

		private final Announcement announcement;

		private long receivedNanos;

		PeerAnnouncement(Announcement announcement, long heardNanos) {
			this.announcement = announcement;
			this.receivedNanos = heardNanos;
		}

	}

}
