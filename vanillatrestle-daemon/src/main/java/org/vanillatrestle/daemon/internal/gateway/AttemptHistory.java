package org.vanillatrestle.daemon.internal.gateway;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.HttpHeaders;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.Verdict;
import org.vanillatrestle.VmId;
import org.vanillatrestle.daemon.internal.pipeline.HeaderNames;
import org.vanillatrestle.internal.fleet.EntryReport;
import org.vanillatrestle.internal.gateway.GatewayTarget;
import org.vanillatrestle.internal.gateway.RemoteEntries;

/**
 * The attempts made for one request, which bound further ones.
 * <p>
 * Used only on the VM's event loop.
 */
final class AttemptHistory {

	/**
	 * The maximum number of attempts, including those that targets rejected. One for
	 * which a target of this region refused the connection is not counted, as the request
	 * is not sent to that target again. For an answer that has begun, whose caller waits
	 * for the rest, neither are those that certainly did not reach a target and those
	 * that targets of this region rejected.
	 */
	private static final int MAX_SENDS = 4;

	/**
	 * The time after which a VM that had no place for the rest of an answer may get it
	 * again.
	 */
	private static final long REFUSAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

	/**
	 * A refused connection fails within this time. One that is not established takes
	 * longer, and a new request must not spend all of its time on such ones.
	 */
	private static final long REFUSED_CONNECTION_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private final int maxRuns;

	private final Set<TargetId> triedTargets = new HashSet<>();

	// targets that may have run the request and were left although they had not failed
	private final Set<TargetId> withdrawnTargets = new HashSet<>();

	// targets in withdrawnTargets until the request was sent to them once more
	private final Set<TargetId> sentAgainTargets = new HashSet<>();

	private final RestRejections restRejections = new RestRejections();

	private final Set<VmId> triedVms = new HashSet<>();

	// VMs that have said which target answers
	private final Set<VmId> answeringVms = new HashSet<>();

	// when VMs had no target for the request
	private final Map<VmId, Long> refusedNanos = new HashMap<>();

	private final Set<TargetId> reachedTargets = new HashSet<>();

	private final Set<RegionId> exhaustedRegions = new HashSet<>();

	private boolean hasArrived;

	private boolean hasBrokenStart;

	private Verdict verdict = Verdict.NOT_RUN;

	private long sentNanos;

	private int sendCount;

	private int unreachedCount;

	private int possibleRuns;

	/**
	 * Creates a history without attempts.
	 * @param maxRuns the maximum number of attempts in which the request may have run
	 */
	AttemptHistory(int maxRuns) {
		this.maxRuns = maxRuns;
	}

	void recordSend(TargetId target) {
		if (this.withdrawnTargets.remove(target)) {
			// the same target runs it again, which is no further one
			this.possibleRuns--;
			this.sentAgainTargets.add(target);
		}
		this.restRejections.recordSend(target);
		this.triedTargets.add(target);
		this.sentNanos = System.nanoTime();
		this.sendCount++;
	}

	void recordSend(VmId vm) {
		this.triedVms.add(vm);
		this.sendCount++;
	}

	/**
	 * Notes that an attempt failed.
	 * @param failure the failure
	 * @param target the target of this region to which the attempt was sent, empty if it
	 * was sent to another VM
	 * @param begun whether the attempt was to continue an answer that has begun; a target
	 * that rejects it may get it again when a place may have become free
	 */
	void recordFailure(AttemptFailure failure, Optional<TargetId> target, boolean begun) {
		if (failure.cause() == AttemptFailure.Cause.UNREACHABLE) {
			// a target that has ended doesn't go on with an earlier run
			target.ifPresent(this.sentAgainTargets::remove);
		}
		boolean mayTakeRestLater = begun && failure.cause() == AttemptFailure.Cause.REJECTED;
		if (mayTakeRestLater) {
			target.ifPresent((id) -> recordRestRejection(id, System.nanoTime()));
		}
		recordRun(failure.verdict(), target);
		this.hasArrived |= failure.reachedTarget();
		if (failure.reachedTarget()) {
			target.ifPresent(this.reachedTargets::add);
		}
		else if (begun || (target.isPresent() && System.nanoTime() - this.sentNanos < REFUSED_CONNECTION_NANOS)) {
			this.unreachedCount++;
		}
	}

	private void recordRestRejection(TargetId target, long nowNanos) {
		this.restRejections.record(target, nowNanos);
		if (this.sentAgainTargets.contains(target)) {
			this.withdrawnTargets.add(target);
		}
	}

	/**
	 * Notes that an attempt ended that counts as a run if its target may have run the
	 * request, then or in an earlier attempt.
	 * @param attemptVerdict whether the request may have run in the attempt
	 * @param target the target of this region, empty if another VM had the attempt
	 * @return whether it counts as a run
	 */
	boolean recordRun(Verdict attemptVerdict, Optional<TargetId> target) {
		recordVerdict(attemptVerdict);
		boolean ranBefore = target.filter(this.sentAgainTargets::remove).isPresent();
		if (!ranBefore && attemptVerdict == Verdict.NOT_RUN) {
			return false;
		}
		this.possibleRuns++;
		return true;
	}

	/**
	 * Notes that a target has begun to answer.
	 */
	void recordStart() {
		this.hasBrokenStart = false;
	}

	/**
	 * Notes that an attempt broke off before the target began to answer.
	 */
	void recordBrokenStart() {
		this.hasBrokenStart = true;
	}

	/**
	 * Checks whether an attempt broke off before its target began to answer, and no
	 * target has begun to answer since.
	 * @return whether the prompt may have crashed the target
	 */
	boolean hasBrokenStart() {
		return this.hasBrokenStart;
	}

	/**
	 * Notes that another attempt follows while one is in progress at a target.
	 */
	void recordArrival() {
		this.hasArrived = true;
	}

	/**
	 * Notes that a replacement was withdrawn because it was no longer needed. If its
	 * target may have run the request, it may get it once more: then no further target
	 * runs the request.
	 * @param attemptVerdict whether the request may have run in the attempt
	 * @param target the target of this region, empty if another VM had the attempt
	 */
	void recordWithdrawal(Verdict attemptVerdict, Optional<TargetId> target) {
		if (recordRun(attemptVerdict, target)) {
			target.ifPresent(this.withdrawnTargets::add);
		}
	}

	void recordVerdict(Verdict attemptVerdict) {
		this.verdict = this.verdict.and(attemptVerdict);
	}

	/**
	 * Returns whether the request may have run in any attempt.
	 * @return the verdict over all attempts
	 */
	Verdict verdict() {
		return this.verdict;
	}

	boolean hasAttemptsLeft() {
		return sendsLeft() > 0 && mayRun(0);
	}

	private int sendsLeft() {
		return MAX_SENDS - (this.sendCount - this.unreachedCount - this.restRejections.count());
	}

	private boolean mayRun(int inProgress) {
		return mayRunElsewhere(inProgress) || !this.withdrawnTargets.isEmpty();
	}

	/**
	 * Checks whether a target may run the request that has not run it.
	 * @param inProgress the number of attempts in progress
	 * @return whether fewer targets than allowed may have run it
	 */
	boolean mayRunElsewhere(int inProgress) {
		return this.possibleRuns + inProgress < this.maxRuns;
	}

	/**
	 * Checks whether a replacement may be sent beside attempts in progress. One send is
	 * kept for the case that these fail.
	 * @param inProgress the number of attempts in progress, all of which may have run
	 * @return whether another attempt may follow
	 */
	boolean mayReplace(int inProgress) {
		return sendsLeft() > 1 && mayRun(inProgress);
	}

	/**
	 * Checks whether an attempt is left beside the one in progress.
	 * @return whether another attempt may follow
	 */
	boolean hasAttemptsLeftAfterRun() {
		return sendsLeft() > 0 && mayRun(1);
	}

	/**
	 * Notes the error of a VM of another region. If a target there rejected the request,
	 * the region gets it again only if another target could take it, then also by way of
	 * the same VM. Any other error says nothing about the region's other VMs.
	 * @param choice the VM and its region
	 * @param error the error
	 */
	void recordRemoteError(RemoteEntries.RemoteChoice choice, RemoteError error) {
		Set<TargetId> reached = error.reachedTargets().orElse(Set.of());
		excludeTargets(reached);
		if (error.verdict() != Verdict.NOT_RUN) {
			return;
		}
		if (reached.isEmpty()) {
			this.refusedNanos.put(choice.vm(), System.nanoTime());
		}
		else if (error.hasMoreTargets()) {
			this.triedVms.remove(choice.vm());
		}
		else {
			this.exhaustedRegions.add(choice.region());
		}
	}

	/**
	 * Excludes targets that the request has reached by way of other VMs.
	 * @param targets the targets
	 */
	void excludeTargets(Set<TargetId> targets) {
		this.triedTargets.addAll(targets);
	}

	/**
	 * Returns the targets of this region that must not get the request now.
	 * @param known the targets of this region
	 * @param inProgress the number of attempts in progress
	 * @param nowNanos the monotonic time
	 * @return the tried targets but for those that rejected the rest of an answer some
	 * time ago, or all but those that replacements were withdrawn from, if no further
	 * target may run the request
	 */
	Set<TargetId> excludedTargets(Collection<GatewayTarget> known, int inProgress, long nowNanos) {
		return excludedTargets(known, inProgress, nowNanos, RestRejections.REJECTION_NANOS);
	}

	/**
	 * Returns the targets of this region that must not get the request, not even later.
	 * @param known the targets of this region
	 * @param nowNanos the monotonic time
	 * @return the targets
	 */
	Set<TargetId> finallyExcludedTargets(Collection<GatewayTarget> known, long nowNanos) {
		return excludedTargets(known, 0, nowNanos, 0);
	}

	private Set<TargetId> excludedTargets(Collection<GatewayTarget> known, int inProgress, long nowNanos,
			long rejectionNanos) {
		Set<TargetId> excluded = new HashSet<>(this.triedTargets);
		Set<TargetId> mayRunAgain = new HashSet<>(this.withdrawnTargets);
		excluded.removeAll(this.restRejections.targets(false, rejectionNanos, nowNanos));
		mayRunAgain.removeAll(this.restRejections.targets(true, rejectionNanos, nowNanos));
		boolean isPaused = this.restRejections.isPaused(rejectionNanos, nowNanos);
		if (isPaused || !mayRunElsewhere(inProgress)) {
			known.forEach((target) -> excluded.add(target.id()));
		}
		if (!isPaused) {
			excluded.removeAll(mayRunAgain);
		}
		return excluded;
	}

	/**
	 * Notes that a VM of another region answers, and for which target.
	 * @param vm the VM
	 * @param headers the headers of the answer
	 */
	void recordRemoteAnswer(VmId vm, HttpHeaders headers) {
		Set<TargetId> targets = RemoteError.split(headers.get(HeaderNames.ANSWERING_TARGET));
		excludeTargets(targets);
		if (!targets.isEmpty()) {
			this.answeringVms.add(vm);
		}
	}

	/**
	 * Checks whether a VM may get the request once more. Its answer broke off, but the
	 * target that failed is known, so that another one of its region continues.
	 * @param entry the VM
	 * @param nowNanos the monotonic time
	 * @return whether the VM has answered, has not just refused the rest, and not all
	 * targets of its region were tried
	 */
	boolean mayContinueAt(EntryReport entry, long nowNanos) {
		Long refused = this.refusedNanos.get(entry.vm());
		return this.answeringVms.contains(entry.vm()) && !this.exhaustedRegions.contains(entry.region())
				&& (refused == null || nowNanos - refused >= REFUSAL_NANOS);
	}

	/**
	 * Checks whether the request may be sent to a VM of another region.
	 * @param entry the VM
	 * @return whether neither the VM nor all targets of its region have been tried
	 */
	boolean isUntried(EntryReport entry) {
		return !this.triedVms.contains(entry.vm()) && !this.exhaustedRegions.contains(entry.region());
	}

	/**
	 * Returns whether any attempt that failed or has a replacement may have reached a
	 * target.
	 * @return whether a further arrival is a repeated one
	 */
	boolean hasArrived() {
		return this.hasArrived;
	}

	/**
	 * Returns the targets of this region that failed attempts may have reached.
	 * @return the targets
	 */
	Set<TargetId> reachedTargets() {
		return this.reachedTargets;
	}

	Set<TargetId> triedTargets() {
		return this.triedTargets;
	}

	int sendCount() {
		return this.sendCount;
	}

	int possibleRuns() {
		return this.possibleRuns;
	}

}
