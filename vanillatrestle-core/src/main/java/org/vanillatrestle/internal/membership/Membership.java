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
 * Deterministic, not thread safe: time, messages and losses of links come in, messages
 * and events go out. Invariants: for each VM the record kept never goes back in the order
 * of {@link MemberRecord#supersedes}, so the incarnation never goes down; a VM is taken
 * for dead only after this VM itself suspected it and then heard no newer heartbeat, from
 * nobody, for the time set: a rumour of a death is taken as a suspicion; this VM never
 * believes itself gone unless it left.
 */
public final class Membership {

	private static final int YOUNG_HEARTBEATS = 20;

	private static final int FULL_MESSAGE_HEARTBEATS = 10;

	private final MembershipSettings settings;

	private final UniformRandomProvider random;

	private final MembershipOutput output;

	private final Map<VmId, Entry> others = new TreeMap<>();

	private final List<VmId> round = new ArrayList<>();

	private MemberRecord self;

	private long nextHeartbeatNanos;

	/**
	 * Creates a view that knows this VM only.
	 * @param self this VM, alive
	 * @param settings times and limits
	 * @param random the source of the order of receivers
	 * @param output takes messages and events
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
	public List<MemberRecord> present() {
		return this.others.values()
			.stream()
			.map((entry) -> entry.member)
			.filter((member) -> member.status().isPresent())
			.toList();
	}

	/**
	 * Returns the other VMs that are remembered and did not leave, by name: those taken
	 * for dead may only be cut off, so links to them are worth trying.
	 * @return a copy
	 */
	public List<MemberRecord> remembered() {
		return this.others.values()
			.stream()
			.map((entry) -> entry.member)
			.filter((member) -> member.status() != MemberStatus.LEFT)
			.toList();
	}

	/**
	 * Returns what is known of another VM.
	 * @param vm the VM
	 * @return the record, {@code null} if nothing is known
	 */
	public MemberRecord member(VmId vm) {
		Entry entry = this.others.get(vm);
		return (entry != null) ? entry.member : null;
	}

	/**
	 * Returns the VM among all present, this one included, that serves a purpose. All VMs
	 * with the same view find the same one; a VM that comes or goes moves only its own
	 * share of purposes.
	 * @param purpose names the purpose, for example a data centre
	 * @return the VM
	 */
	public VmId chosenFor(String purpose) {
		List<VmId> candidates = new ArrayList<>();
		if (this.self.status().isPresent()) {
			candidates.add(this.self.vm());
		}
		present().forEach((member) -> candidates.add(member.vm()));
		return (candidates.isEmpty()) ? this.self.vm() : Rendezvous.choose(purpose, candidates);
	}

	/**
	 * Passes the time on.
	 * @param nowNanos the monotonic time
	 * @param appliedIndex this VM's applied index of the contract book
	 */
	public void tick(long nowNanos, long appliedIndex) {
		checkSilence(nowNanos);
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
	 * Takes a message.
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
		if (message.answerWanted() && !message.sender().equals(this.self.vm())) {
			this.output.send(message.sender(), message(false, nowNanos));
		}
	}

	/**
	 * Notes that a link to a VM of this data centre is up: both tell each other all.
	 * @param vm the VM
	 * @param nowNanos the monotonic time
	 */
	public void linkUp(VmId vm, long nowNanos) {
		this.output.send(vm, message(true, nowNanos));
	}

	/**
	 * Notes that the link to a VM was lost: it is suspected at once.
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
	 * Tells all VMs that this one leaves. Until it is created anew it sends no more.
	 * @param nowNanos the monotonic time
	 */
	public void leave(long nowNanos) {
		this.self = this.self.withStatus(MemberStatus.LEFT);
		Gossip message = new Gossip(this.self.vm(), false, List.of(this.self));
		for (MemberRecord member : present()) {
			this.output.send(member.vm(), message);
		}
	}

	/**
	 * Answers a rumour about this VM by a higher incarnation, if the rumour would win.
	 * @param rumour what another VM believes of this one
	 */
	private void refute(MemberRecord rumour) {
		boolean harmless = rumour.status() == MemberStatus.ALIVE && rumour.heartbeat() <= this.self.heartbeat();
		if (!this.self.status().isPresent() || rumour.incarnation() < this.self.incarnation()
				|| (rumour.incarnation() == this.self.incarnation() && harmless)) {
			return;
		}
		this.self = this.self.next(rumour.incarnation() + 1, this.self.appliedIndex());
	}

	private void merge(MemberRecord rumour, long nowNanos) {
		Entry entry = this.others.get(rumour.vm());
		if (entry == null) {
			add(rumour, nowNanos);
			return;
		}
		MemberRecord believed = (rumour.status() == MemberStatus.DEAD) ? rumour.withStatus(MemberStatus.SUSPECT)
				: rumour;
		if (believed.supersedes(entry.member)) {
			String address = (believed.address().isEmpty()) ? entry.member.address() : believed.address();
			replace(entry, believed.withAddress(address), nowNanos);
		}
	}

	private void add(MemberRecord rumour, long nowNanos) {
		if (rumour.status() != MemberStatus.ALIVE || rumour.address().isEmpty()
				|| this.others.size() >= this.settings.maxMembers()) {
			return;
		}
		this.others.put(rumour.vm(), new Entry(rumour, nowNanos));
		this.round.clear();
		this.output.changed(new MembershipEvent(MembershipEvent.Kind.JOINED, rumour));
	}

	private void replace(Entry entry, MemberRecord newer, long nowNanos) {
		MemberRecord older = entry.member;
		entry.member = newer;
		entry.sinceNanos = nowNanos;
		MembershipEvent.Kind kind = kindOf(older, newer);
		if (kind != null) {
			this.round.clear();
			this.output.changed(new MembershipEvent(kind, newer));
		}
		if (kind == MembershipEvent.Kind.LEFT) {
			passOn(newer);
		}
	}

	private MembershipEvent.Kind kindOf(MemberRecord older, MemberRecord newer) {
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

	private void passOn(MemberRecord left) {
		Gossip message = new Gossip(this.self.vm(), false, List.of(left));
		for (int i = 0; i < this.settings.fanOut(); i++) {
			VmId receiver = nextReceiver();
			if (receiver != null) {
				this.output.send(receiver, message);
			}
		}
	}

	private void checkSilence(long nowNanos) {
		Collection<Entry> entries = new ArrayList<>(this.others.values());
		for (Entry entry : entries) {
			long silentNanos = nowNanos - entry.sinceNanos;
			switch (entry.member.status()) {
				case ALIVE ->
					degrade(entry, MemberStatus.SUSPECT, silentNanos >= this.settings.suspectAfterNanos(), nowNanos);
				case SUSPECT ->
					degrade(entry, MemberStatus.DEAD, silentNanos >= this.settings.deadAfterNanos(), nowNanos);
				default -> forget(entry, silentNanos);
			}
		}
	}

	private void degrade(Entry entry, MemberStatus status, boolean due, long nowNanos) {
		if (due) {
			replace(entry, entry.member.withStatus(status), nowNanos);
		}
	}

	private void forget(Entry entry, long silentNanos) {
		if (silentNanos >= this.settings.forgetAfterNanos()) {
			this.others.remove(entry.member.vm());
		}
	}

	/**
	 * Writes the message of a period. Addresses that the others should know by now are
	 * left out of nine in ten, to save bytes.
	 * @param nowNanos the monotonic time
	 * @return the message
	 */
	private Gossip heartbeat(long nowNanos) {
		Gossip message = message(false, nowNanos);
		if (this.self.heartbeat() % FULL_MESSAGE_HEARTBEATS == 0) {
			return message;
		}
		List<MemberRecord> members = message.members()
			.stream()
			.map((member) -> (member.heartbeat() > YOUNG_HEARTBEATS) ? member.withAddress("") : member)
			.toList();
		return new Gossip(message.sender(), false, members);
	}

	private Gossip message(boolean answerWanted, long nowNanos) {
		List<MemberRecord> members = new ArrayList<>();
		members.add(this.self);
		for (Entry entry : this.others.values()) {
			boolean told = nowNanos - entry.sinceNanos >= this.settings.tellGoneNanos();
			if (entry.member.status().isPresent() || !told) {
				members.add(entry.member);
			}
		}
		return new Gossip(this.self.vm(), answerWanted, members);
	}

	/**
	 * Takes the next VM of a round in which each VM present comes once, in random order.
	 * @return the VM, {@code null} if there is none
	 */
	private VmId nextReceiver() {
		if (this.round.isEmpty()) {
			present().forEach((member) -> this.round.add(member.vm()));
			shuffleRound();
		}
		return (this.round.isEmpty()) ? null : this.round.remove(this.round.size() - 1);
	}

	private void shuffleRound() {
		for (int i = this.round.size() - 1; i > 0; i--) {
			int other = this.random.nextInt(i + 1);
			VmId vm = this.round.set(i, this.round.get(other));
			this.round.set(other, vm);
		}
	}

	/**
	 * A record and since when it has been the best.
	 */
	private static final class Entry {

		private MemberRecord member;

		private long sinceNanos;

		Entry(MemberRecord member, long sinceNanos) {
			this.member = member;
			this.sinceNanos = sinceNanos;
		}

	}

}
