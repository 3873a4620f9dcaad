package org.vanillatrestle.internal.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.vanillatrestle.ServiceName;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.gateway.PromptPart;
import org.vanillatrestle.internal.gateway.RequestShape;
import org.vanillatrestle.internal.gateway.VmRanking;

/**
 * Decides which requests may be sent to engines, so that a prompt part that crashes
 * engines is found and then kept away from them.
 * <p>
 * A crash makes all shared parts suspect of all prompts whose answer had not begun on
 * that engine. An answer that begins clears all parts of its prompt. A part is suspended
 * after {@link #CRASHES_TO_SUSPEND} crashes in sequence, and requests with it refused,
 * unless parts that a request does not hold explain the crashes as well. What is
 * suspended is probed by one VM at a time after a pause that grows with each probe.
 * <p>
 * Invariant: all VMs that know the same crashes decide alike, whichever VM a request came
 * to. Not thread safe.
 */
public final class PartQuarantine {

	/**
	 * Crashes that one engine after the other suffers by chance under prompts with the
	 * same part are rarely as many, as any answer to such a prompt in between clears it.
	 */
	static final int CRASHES_TO_SUSPEND = 3;

	/**
	 * From this many crashes on, each VM waits for one request with the part to be
	 * answered before it sends the next.
	 */
	static final int CRASHES_TO_ISOLATE = 2;

	/**
	 * Maximum number of parts of a prompt that are observed.
	 */
	static final int MAX_OBSERVED_PARTS = 64;

	private static final long FIRST_PROBE_MILLIS = 20_000;

	/**
	 * A part that was answered before is more likely to have been there by chance, when
	 * engines crashed faster than any of them could answer.
	 */
	private static final long FIRST_PROBE_OF_ANSWERED_PART_MILLIS = 2_000;

	private static final int PROBE_PAUSE_FACTOR = 3;

	private static final long MAX_PROBE_PAUSE_MILLIS = TimeUnit.MINUTES.toMillis(30);

	/**
	 * Time by which the VMs' turns to probe are apart, longer than a probe takes to
	 * become known everywhere.
	 */
	private static final long PROBE_TURN_MILLIS = 1_000;

	private final VmId self;

	private final SuspectListener listener;

	private final SuspectTable table = new SuspectTable();

	private final AnsweredParts answered = new AnsweredParts();

	private final Map<PartKey, Integer> isolated = new HashMap<>();

	private SortedSet<VmId> members = new TreeSet<>();

	private boolean connected;

	/**
	 * Creates a quarantine without suspect parts.
	 * @param self this VM
	 * @param listener receives what this VM observes
	 */
	public PartQuarantine(VmId self, SuspectListener listener) {
		this.self = self;
		this.listener = listener;
	}

	/**
	 * Sets the VMs that take turns to probe suspended parts.
	 * @param entries the entry VMs of all regions
	 * @param isConnected whether this VM has a link to a control VM. Without one it can't
	 * tell the others of a probe and makes none
	 */
	public void setMembers(SortedSet<VmId> entries, boolean isConnected) {
		this.members = new TreeSet<>(entries);
		this.connected = isConnected;
	}

	/**
	 * Merges what another VM knows of a part.
	 * @param reported the part
	 * @param nowNanos the monotonic time
	 * @return what is known now, empty if nothing changed
	 */
	public Optional<SuspectPart> merge(SuspectPart reported, long nowNanos) {
		return this.table.merge(reported, nowNanos);
	}

	/**
	 * Returns all suspect parts, and those that were cleared.
	 * @param nowNanos the monotonic time
	 * @return the parts
	 */
	public List<SuspectPart> suspects(long nowNanos) {
		return this.table.all(nowNanos);
	}

	/**
	 * Decides whether a request may be sent to an engine.
	 * @param shape the request
	 * @param nowNanos the monotonic time
	 * @return the decision
	 */
	public Admission admit(RequestShape shape, long nowNanos) {
		if (this.table.isEmpty()) {
			return Admission.ADMITTED;
		}
		List<SuspectPart> parts = lookUp(shape, nowNanos);
		List<SuspectPart> suspended = suspended(parts, shape.service().name(), nowNanos);
		if (!suspended.isEmpty()) {
			long waitMillis = suspended.stream().mapToLong(this::millisUntilProbe).max().orElse(0);
			boolean probes = this.connected && waitMillis == 0;
			return new Admission(probes ? Admission.Action.PROBE : Admission.Action.REFUSE, suspended,
					Math.max(PROBE_TURN_MILLIS, waitMillis));
		}
		boolean waits = parts.stream().anyMatch((part) -> this.isolated.containsKey(part.key()));
		return waits ? Admission.ISOLATED : Admission.ADMITTED;
	}

	private List<SuspectPart> lookUp(RequestShape shape, long nowNanos) {
		ServiceName service = shape.service().name();
		return shape.sharedParts()
			.stream()
			.map(PromptPart::id)
			.distinct()
			.limit(MAX_OBSERVED_PARTS)
			.map((id) -> find(PartKey.of(service, id), nowNanos))
			.toList();
	}

	private SuspectPart find(PartKey key, long nowNanos) {
		return this.table.find(key, nowNanos)
			.orElseGet(() -> SuspectPart.unsuspected(key, this.answered.contains(key)));
	}

	private List<SuspectPart> suspended(List<SuspectPart> parts, ServiceName service, long nowNanos) {
		if (parts.stream().noneMatch(SuspectPart::isSuspendable)) {
			return List.of();
		}
		Set<PartKey> held = parts.stream().map(SuspectPart::key).collect(Collectors.toSet());
		List<SuspectPart> rivals = this.table.presentAt(service, CRASHES_TO_SUSPEND, nowNanos)
			.stream()
			.filter((part) -> !held.contains(part.key()))
			.toList();
		return parts.stream()
			.filter((part) -> part.isSuspendable() && unexplainedCrashes(part, rivals) >= CRASHES_TO_SUSPEND)
			.toList();
	}

	// parts that the request does not hold explain the crashes at which they were there
	private static int unexplainedCrashes(SuspectPart part, List<SuspectPart> rivals) {
		Set<Long> unexplained = new HashSet<>(part.crashIds());
		rivals.stream().filter(part::isNoMoreSuspectThan).forEach((rival) -> unexplained.removeAll(rival.crashIds()));
		return unexplained.size();
	}

	private long millisUntilProbe(SuspectPart part) {
		long pauseMillis = part.isAnsweredBefore() ? FIRST_PROBE_OF_ANSWERED_PART_MILLIS : FIRST_PROBE_MILLIS;
		for (int i = CRASHES_TO_SUSPEND; i < part.crashes() && pauseMillis < MAX_PROBE_PAUSE_MILLIS; i++) {
			pauseMillis *= PROBE_PAUSE_FACTOR;
		}
		int turn = VmRanking.rank(this.self, part.key().part() + '/' + part.crashes(), this.members);
		long dueMillis = Math.min(pauseMillis, MAX_PROBE_PAUSE_MILLIS) + turn * PROBE_TURN_MILLIS;
		return Math.max(0, dueMillis - part.ageMillis());
	}

	/**
	 * Notes that a request is sent to an engine.
	 * @param shape the request
	 * @param admission the decision by which it is sent
	 * @param nowNanos the monotonic time
	 * @return the time until the answer begins
	 */
	public PromptStart send(RequestShape shape, Admission admission, long nowNanos) {
		List<SuspectPart> parts = lookUp(shape, nowNanos);
		parts.stream()
			.filter((part) -> part.crashes() >= CRASHES_TO_ISOLATE)
			.forEach((part) -> this.isolated.merge(part.key(), 1, Integer::sum));
		if (admission.action() == Admission.Action.PROBE) {
			// known to all before its outcome, so that no other VM probes meanwhile
			apply(admission.suspended().stream().map(SuspectPart::afterProbe).toList(), nowNanos);
		}
		return new PromptStart(this, parts);
	}

	void endIsolation(List<SuspectPart> parts) {
		parts.stream()
			.filter((part) -> part.crashes() >= CRASHES_TO_ISOLATE)
			.forEach((part) -> this.isolated.computeIfPresent(part.key(),
					(key, count) -> (count > 1) ? count - 1 : null));
	}

	void clear(List<SuspectPart> parts, long nowNanos) {
		parts.forEach((part) -> this.answered.add(part.key()));
		apply(parts.stream()
			.map((part) -> find(part.key(), nowNanos))
			.filter((part) -> part.crashes() > 0)
			.map(SuspectPart::cleared)
			.toList(), nowNanos);
	}

	/**
	 * Notes that an engine crashed.
	 * @param crashId identifies the crash, at all VMs alike
	 * @param unanswered the prompts of this VM whose answer had not begun on that engine
	 * @param nowNanos the monotonic time
	 */
	public void engineCrashed(long crashId, List<PromptStart> unanswered, long nowNanos) {
		unanswered.forEach(PromptStart::end);
		apply(unanswered.stream()
			.flatMap((start) -> start.parts().stream())
			// a part that has been cleared since the request was sent stays cleared
			.filter((sent) -> find(sent.key(), nowNanos).epoch() == sent.epoch())
			.map((sent) -> sent.afterCrash(crashId))
			.toList(), nowNanos);
	}

	private void apply(List<SuspectPart> observed, long nowNanos) {
		List<SuspectPart> changed = observed.stream()
			.flatMap((part) -> this.table.merge(part, nowNanos).stream())
			.toList();
		if (!changed.isEmpty()) {
			this.listener.suspectsChanged(changed);
		}
	}

}
