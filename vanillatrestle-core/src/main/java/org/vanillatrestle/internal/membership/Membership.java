package org.vanillatrestle.internal.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.apache.commons.rng.UniformRandomProvider;
import org.vanillatrestle.VmId;

/**
 * One VM's view of the VMs of its data centre.
 * <p>
 * Deterministic and not thread safe. The inputs are the time, messages and link events;
 * the outputs are messages and membership events. Invariants: the record kept for a VM is
 * replaced only by one that supersedes it according to {@link MemberRecord#supersedes},
 * so the incarnation never decreases; a VM is considered dead only after this VM itself
 * suspected it and then received no newer heartbeat, directly or through other VMs, for
 * the configured time, so a received report of a death is treated as a suspicion; this VM
 * never considers itself gone unless it left.
 */
public final class Membership {

	private static final int ADDRESS_INTRODUCTION_HEARTBEATS = 20;

	private static final int FULL_MESSAGE_INTERVAL_HEARTBEATS = 10;

	private final MembershipSettings settings;

	private final UniformRandomProvider random;

	private final MembershipOutput output;

	private final Map<VmId, Entry> others = new TreeMap<>();

	private final List<VmId> receiverRound = new ArrayList<>();

	private MemberRecord self;

	private long nextHeartbeatNanos;

	/**
	 * Creates a view that contains only this VM.
	 * @param self the record of this VM, with status alive
	 * @param settings timeouts and limits
	 * @param random the random source for the order of receivers
	 * @param output receives messages and events
	 * @param nowNanos the monotonic time
	 */
	public Membership(MemberRecord self, MembershipSettings settings, UniformRandomProvider random,
			MembershipOutput output, long nowNanos) {
		this.self = self;
		this.settings = settings;
		this.random = random;
		this.output = output;
		this.nextHeartbeatNanos = nowNanos;
	}

	/**
	 * Returns this VM's own record.
	 * @return the record
	 */
	public MemberRecord self() {
		return this.self;
	}

	/**
	 * Returns the other VMs that are alive or suspected, by name.
	 * @return a copy
	 */
	public List<MemberRecord> presentMembers() {
		return this.others.values()
			.stream()
			.map((entry) -> entry.member)
			.filter((member) -> member.status().isPresent())
			.toList();
	}

	/**
	 * Returns the other VMs that are remembered and did not leave, by name. Includes VMs
	 * considered dead: they may only be disconnected, so link attempts to them are
	 * worthwhile.
	 * @return a copy
	 */
	public List<MemberRecord> knownMembers() {
		return this.others.values()
			.stream()
			.map((entry) -> entry.member)
			.filter((member) -> member.status() != MemberStatus.LEFT)
			.toList();
	}

	/**
	 * Returns the record of another VM.
	 * @param vm the VM
	 * @return the record, {@code null} if the VM is unknown
	 */
	public MemberRecord member(VmId vm) {
		Entry entry = this.others.get(vm);
		return (entry != null) ? entry.member : null;
	}

	/**
	 * Returns the VM that is responsible for a key, chosen among all present VMs
	 * including this one. All VMs with the same view choose the same VM, and a VM that
	 * joins or leaves reassigns only its own share of the keys.
	 * @param key the key, for example the name of a data centre
	 * @return the VM
	 */
	public VmId responsibleFor(String key) {
		List<VmId> candidates = new ArrayList<>();
		if (this.self.status().isPresent()) {
			candidates.add(this.self.vm());
		}
		presentMembers().forEach((member) -> candidates.add(member.vm()));
		return (candidates.isEmpty()) ? this.self.vm() : RendezvousHash.choose(key, candidates);
	}

	/**
	 * Advances the time: updates the statuses of VMs without new heartbeats and sends a
	 * heartbeat if one is due.
	 * @param nowNanos the monotonic time
	 * @param appliedIndex this VM's applied index of the contract book
	 */
	public void tick(long nowNanos, long appliedIndex) {
		checkTimeouts(nowNanos);
		if (nowNanos - this.nextHeartbeatNanos < 0 || !this.self.status().isPresent()) {
			return;
		}
		this.nextHeartbeatNanos = nowNanos + this.settings.periodNanos();
		this.self = this.self.next(this.self.incarnation(), appliedIndex);
		Gossip message = heartbeat(nowNanos);
		for (int i = 0; i < this.settings.fanOut(); i++) {
			VmId receiver = nextReceiver();
			if (receiver != null) {
				this.output.send(receiver, message);
			}
		}
	}

	/**
	 * Processes a received message.
	 * @param message the message
	 * @param nowNanos the monotonic time
	 */
	public void receive(Gossip message, long nowNanos) {
		for (MemberRecord member : message.members()) {
			if (member.vm().equals(this.self.vm())) {
				refute(member);
			}
			else {
				merge(member, nowNanos);
			}
		}
		if (message.replyRequested() && !message.sender().equals(this.self.vm())) {
			this.output.send(message.sender(), message(false, nowNanos));
		}
	}

	/**
	 * Records that a link to a VM of this data centre was established, and exchanges
	 * complete views with that VM.
	 * @param vm the VM
	 * @param nowNanos the monotonic time
	 */
	public void linkUp(VmId vm, long nowNanos) {
		this.output.send(vm, message(true, nowNanos));
	}

	/**
	 * Records that the link to a VM was lost; the VM is suspected immediately.
	 * @param vm the VM
	 * @param nowNanos the monotonic time
	 */
	public void linkLost(VmId vm, long nowNanos) {
		Entry entry = this.others.get(vm);
		if (entry != null && entry.member.status() == MemberStatus.ALIVE) {
			replace(entry, entry.member.withStatus(MemberStatus.SUSPECT), nowNanos);
		}
	}

	/**
	 * Announces to all present VMs that this VM is leaving. This instance then sends no
	 * more heartbeats; to rejoin, the VM creates a new instance.
	 * @param nowNanos the monotonic time
	 */
	public void leave(long nowNanos) {
		this.self = this.self.withStatus(MemberStatus.LEFT);
		Gossip message = new Gossip(this.self.vm(), false, List.of(this.self));
		for (MemberRecord member : presentMembers()) {
			this.output.send(member.vm(), message);
		}
	}

	/**
	 * Raises the incarnation of this VM above that of a received record of it, if that
	 * record would otherwise take precedence.
	 * @param received the record that another VM has of this one
	 */
	private void refute(MemberRecord received) {
		boolean consistent = received.status() == MemberStatus.ALIVE && received.heartbeat() <= this.self.heartbeat();
		if (!this.self.status().isPresent() || received.incarnation() < this.self.incarnation()
				|| (received.incarnation() == this.self.incarnation() && consistent)) {
			return;
		}
		this.self = this.self.next(received.incarnation() + 1, this.self.appliedIndex());
	}

	private void merge(MemberRecord received, long nowNanos) {
		Entry entry = this.others.get(received.vm());
		if (entry == null) {
			add(received, nowNanos);
			return;
		}
		MemberRecord accepted = (received.status() == MemberStatus.DEAD) ? received.withStatus(MemberStatus.SUSPECT)
				: received;
		if (accepted.supersedes(entry.member)) {
			String address = (accepted.address().isEmpty()) ? entry.member.address() : accepted.address();
			replace(entry, accepted.withAddress(address), nowNanos);
		}
	}

	private void add(MemberRecord received, long nowNanos) {
		if (received.status() != MemberStatus.ALIVE || received.address().isEmpty()
				|| this.others.size() >= this.settings.maxMembers()) {
			return;
		}
		this.others.put(received.vm(), new Entry(received, nowNanos));
		this.receiverRound.clear();
		this.output.changed(new MembershipEvent(MembershipEvent.Kind.JOINED, received));
	}

	private void replace(Entry entry, MemberRecord newer, long nowNanos) {
		MemberRecord older = entry.member;
		entry.member = newer;
		entry.storedNanos = nowNanos;
		MembershipEvent.Kind kind = eventKind(older, newer);
		if (kind != null) {
			this.receiverRound.clear();
			this.output.changed(new MembershipEvent(kind, newer));
		}
		if (kind == MembershipEvent.Kind.LEFT) {
			forwardLeave(newer);
		}
	}

	private MembershipEvent.Kind eventKind(MemberRecord older, MemberRecord newer) {
		boolean restarted = newer.incarnation() > older.incarnation() && !older.status().isPresent();
		if (newer.status() == older.status() && !restarted) {
			return null;
		}
		return switch (newer.status()) {
			case ALIVE -> (older.status().isPresent()) ? MembershipEvent.Kind.CLEARED : MembershipEvent.Kind.JOINED;
			case SUSPECT -> (older.status().isPresent()) ? MembershipEvent.Kind.SUSPECTED : MembershipEvent.Kind.JOINED;
			case DEAD -> (older.status().isPresent()) ? MembershipEvent.Kind.DIED : null;
			case LEFT -> MembershipEvent.Kind.LEFT;
		};
	}

	private void forwardLeave(MemberRecord left) {
		Gossip message = new Gossip(this.self.vm(), false, List.of(left));
		for (int i = 0; i < this.settings.fanOut(); i++) {
			VmId receiver = nextReceiver();
			if (receiver != null) {
				this.output.send(receiver, message);
			}
		}
	}

	private void checkTimeouts(long nowNanos) {
		Collection<Entry> entries = new ArrayList<>(this.others.values());
		for (Entry entry : entries) {
			long silentNanos = nowNanos - entry.storedNanos;
			switch (entry.member.status()) {
				case ALIVE -> downgradeIfDue(entry, MemberStatus.SUSPECT,
						silentNanos >= this.settings.suspectAfterNanos(), nowNanos);
				case SUSPECT ->
					downgradeIfDue(entry, MemberStatus.DEAD, silentNanos >= this.settings.deadAfterNanos(), nowNanos);
				default -> removeIfExpired(entry, silentNanos);
			}
		}
	}

	private void downgradeIfDue(Entry entry, MemberStatus status, boolean due, long nowNanos) {
		if (due) {
			replace(entry, entry.member.withStatus(status), nowNanos);
		}
	}

	private void removeIfExpired(Entry entry, long silentNanos) {
		if (silentNanos >= this.settings.forgetAfterNanos()) {
			this.others.remove(entry.member.vm());
		}
	}

	/**
	 * Builds the heartbeat message of a period. To save bytes, nine of ten messages omit
	 * addresses that the others should already know.
	 * @param nowNanos the monotonic time
	 * @return the message
	 */
	private Gossip heartbeat(long nowNanos) {
		Gossip message = message(false, nowNanos);
		if (this.self.heartbeat() % FULL_MESSAGE_INTERVAL_HEARTBEATS == 0) {
			return message;
		}
		List<MemberRecord> members = message.members()
			.stream()
			.map((member) -> (member.heartbeat() > ADDRESS_INTRODUCTION_HEARTBEATS) ? member.withAddress("") : member)
			.toList();
		return new Gossip(message.sender(), false, members);
	}

	private Gossip message(boolean replyRequested, long nowNanos) {
		List<MemberRecord> members = new ArrayList<>();
		members.add(this.self);
		for (Entry entry : this.others.values()) {
			boolean announcementPeriodOver = nowNanos - entry.storedNanos >= this.settings.announceGoneNanos();
			if (entry.member.status().isPresent() || !announcementPeriodOver) {
				members.add(entry.member);
			}
		}
		return new Gossip(this.self.vm(), replyRequested, members);
	}

	/**
	 * Returns the next receiver. Each round contains every present VM once, in random
	 * order.
	 * @return the VM, {@code null} if no other VM is present
	 */
	private VmId nextReceiver() {
		if (this.receiverRound.isEmpty()) {
			presentMembers().forEach((member) -> this.receiverRound.add(member.vm()));
			shuffleReceivers();
		}
		return (this.receiverRound.isEmpty()) ? null : this.receiverRound.remove(this.receiverRound.size() - 1);
	}

	private void shuffleReceivers() {
		for (int i = this.receiverRound.size() - 1; i > 0; i--) {
			int other = this.random.nextInt(i + 1);
			VmId vm = this.receiverRound.set(i, this.receiverRound.get(other));
			this.receiverRound.set(other, vm);
		}
	}

	/**
	 * The current record of a VM and the monotonic time at which it was stored.
	 */
	private static final class Entry {

		private MemberRecord member;

		private long storedNanos;

		Entry(MemberRecord member, long storedNanos) {
			this.member = member;
			this.storedNanos = storedNanos;
		}

	}

}
