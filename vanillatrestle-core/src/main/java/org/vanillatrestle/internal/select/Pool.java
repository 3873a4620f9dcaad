package org.vanillatrestle.internal.select;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.vanillatrestle.internal.request.PoolKey;

/**
 * The targets of one pool that are known to this VM, with moving averages of the pool's
 * latency and answer length.
 * <p>
 * At most {@link SelectionSettings#maxEjectedPercent()} of the candidates are ejected at
 * the same time; unreachable targets don't count towards this limit. Not thread safe:
 * owned by the VM's event loop.
 */
public final class Pool {

	private static final double SAMPLE_WEIGHT = 0.05;

	private static final double DEFAULT_NANOS_PER_WORK_UNIT = 250_000;

	private static final double DEFAULT_SERVICE_TIME_NANOS = 2e9;

	private static final double DEFAULT_ANSWER_TOKENS = 100;

	private static final double CACHE_MISS_SHARE = 0.4;

	private final PoolKey key;

	private final MovingAverage nanosPerWorkUnit = new MovingAverage(SAMPLE_WEIGHT);

	private final MovingAverage serviceTimeNanos = new MovingAverage(SAMPLE_WEIGHT);

	private final MovingAverage meanAnswerTokens = new MovingAverage(SAMPLE_WEIGHT);

	private List<Candidate> candidates = List.of();

	private boolean hadTargets;

	private long registryVersion = -1;

	private long candidatesSetNanos;

	private long refreshedNanos;

	private long refreshedChangeCount = -1;

	private double freeSlots;

	private double slots;

	private double peakSlots;

	private double outstanding;

	private long minPriceMicros;

	private boolean empty;

	private long emptySinceNanos;

	Pool(PoolKey key) {
		this.key = key;
	}

	public PoolKey key() {
		return this.key;
	}

	List<Candidate> candidates() {
		return this.candidates;
	}

	boolean hasOutdatedCandidates(long currentRegistryVersion, long nowNanos, long maxAgeNanos) {
		return this.registryVersion != currentRegistryVersion || nowNanos - this.candidatesSetNanos >= maxAgeNanos;
	}

	boolean hasNeverHadTargets() {
		return !this.hadTargets;
	}

	void setCandidates(List<Candidate> newCandidates, long newRegistryVersion, long nowNanos) {
		this.candidates = newCandidates;
		this.hadTargets = this.hadTargets || !newCandidates.isEmpty();
		this.registryVersion = newRegistryVersion;
		this.candidatesSetNanos = nowNanos;
	}

	/**
	 * Updates the load, slow start and ejection of the candidates and the pool's totals.
	 * Does nothing if neither the state of any target nor the time has changed since the
	 * last call.
	 * @param settings the settings
	 * @param changeCount a counter that grows with each change of any target's state
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void refresh(SelectionSettings settings, long changeCount, long nowNanos) {
		if (this.refreshedChangeCount == changeCount && this.refreshedNanos == nowNanos) {
			return;
		}
		this.refreshedChangeCount = changeCount;
		this.refreshedNanos = nowNanos;
		this.freeSlots = 0;
		this.slots = 0;
		this.outstanding = 0;
		this.minPriceMicros = Long.MAX_VALUE;
		int ejected = 0;
		double maxSlowStartShare = maxSlowStartShare(settings, nowNanos);
		for (Candidate candidate : this.candidates) {
			candidate
				.refresh(candidate.state().slowStartShare(nowNanos, settings.slowStartNanos()) / maxSlowStartShare);
			candidate.setEjected(isUnavailable(candidate.state(), settings, nowNanos));
			ejected += (candidate.isEjected() && !candidate.isUnreachable()) ? 1 : 0;
			this.minPriceMicros = Math.min(this.minPriceMicros,
					TargetCosts.referencePriceMicros(candidate.announcement()));
		}
		int maxEjected = this.candidates.size() * settings.maxEjectedPercent() / 100;
		if (ejected > maxEjected) {
			readmit(ejected - maxEjected);
		}
		for (Candidate candidate : this.candidates) {
			this.freeSlots += candidate.freeSlots();
			this.slots += candidate.isEjected() ? 0 : candidate.slots();
			this.outstanding += candidate.isEjected() ? 0 : candidate.outstanding();
		}
		this.peakSlots = Math.max(this.peakSlots, this.slots);
		updateOutage(nowNanos);
	}

	private double maxSlowStartShare(SelectionSettings settings, long nowNanos) {
		double max = 0;
		for (Candidate candidate : this.candidates) {
			max = Math.max(max, candidate.state().slowStartShare(nowNanos, settings.slowStartNanos()));
		}
		return max;
	}

	/**
	 * Ejects a target that has sent no first byte for too long, and returns whether the
	 * target is now ejected or unreachable.
	 * @param state the state of the target
	 * @param settings when and for how long to eject
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return whether the target is ejected or unreachable
	 */
	private boolean isUnavailable(TargetState state, SelectionSettings settings, long nowNanos) {
		if (state.nanosWithoutFirstByte(nowNanos) > maxNanosWithoutFirstByte()) {
			state.eject(settings, nowNanos);
		}
		return state.isEjected(nowNanos) || state.isUnreachable();
	}

	private long maxNanosWithoutFirstByte() {
		return (long) Math.max(2e9, 2 * this.serviceTimeNanos.orElse(DEFAULT_SERVICE_TIME_NANOS));
	}

	/**
	 * Admits ejected targets again, starting with those whose ejection ends first.
	 * @param count the number of targets to admit
	 */
	private void readmit(int count) {
		List<Candidate> ejected = new ArrayList<>(this.candidates);
		ejected.removeIf((candidate) -> !candidate.isEjected() || candidate.isUnreachable());
		ejected.sort(Comparator.comparingLong((candidate) -> candidate.state().ejectedUntilNanos()));
		ejected.subList(0, count).forEach((candidate) -> candidate.setEjected(false));
	}

	/**
	 * Returns the sum of the free slots of all targets that are not ejected.
	 * @return the number of requests that could start without waiting
	 */
	public double freeSlots() {
		return this.freeSlots;
	}

	/**
	 * Returns the sum of the slots of all targets that are not ejected.
	 * @return the number of requests that can be processed at the same time
	 */
	public double slots() {
		return this.slots;
	}

	/**
	 * Returns the number of slots to assume for estimates, so that a short absence of
	 * targets doesn't distort them: at least half of the highest number ever seen.
	 * @return the number of requests, at least 1
	 */
	public double expectedSlots() {
		return Math.max(1, Math.max(this.slots, this.peakSlots / 2));
	}

	/**
	 * Returns whether no target is available.
	 * @return whether the pool has no slots
	 */
	public boolean isEmpty() {
		return this.slots < 1;
	}

	private void updateOutage(long nowNanos) {
		if (isEmpty() && !this.empty) {
			this.emptySinceNanos = nowNanos;
		}
		this.empty = isEmpty();
	}

	/**
	 * Returns how long no target has been available.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return nanoseconds, 0 if a target is available
	 */
	public long outageNanos(long nowNanos) {
		return this.empty ? nowNanos - this.emptySinceNanos : 0;
	}

	/**
	 * Returns whether the pool has had a target at any time since this VM started.
	 * @return whether it has had one
	 */
	public boolean hasHadTargets() {
		return this.hadTargets;
	}

	/**
	 * Returns how long a request is expected to wait for a free slot.
	 * @param requestsAhead the number of requests ahead of it in the queue
	 * @return nanoseconds
	 */
	public long waitNanos(double requestsAhead) {
		double excess = requestsAhead + 1 - this.freeSlots;
		if (excess <= 0) {
			return 0;
		}
		return (long) (excess * serviceTimeNanos() / Math.max(1, this.slots));
	}

	/**
	 * Returns the moving average of the time from the dispatch of a request to the end of
	 * its answer.
	 * @return nanoseconds
	 */
	public double serviceTimeNanos() {
		return this.serviceTimeNanos.orElse(DEFAULT_SERVICE_TIME_NANOS);
	}

	/**
	 * Returns the moving average of an answer's length.
	 * @return the number of tokens
	 */
	public double meanAnswerTokens() {
		return this.meanAnswerTokens.orElse(DEFAULT_ANSWER_TOKENS);
	}

	/**
	 * Returns the expected extra time to the first byte if the prompt is not cached at
	 * the target.
	 * @param promptTokens the number of tokens in the prompt
	 * @return nanoseconds
	 */
	public long cacheMissPenaltyNanos(int promptTokens) {
		return (long) (CACHE_MISS_SHARE * nanosPerWorkUnit() * promptTokens);
	}

	/**
	 * Returns the price per thousand tokens at the cheapest target with a free slot, or
	 * at the cheapest of all targets if none has one.
	 * @return millionths of the currency per thousand tokens, 0 if the pool has no
	 * targets
	 */
	public long cheapestPricePerThousandTokensMicros() {
		Candidate cheapest = cheapest();
		return (cheapest != null) ? cheapest.announcement().capacity().priceMicrosPerThousandTokens() : 0;
	}

	/**
	 * Returns the price per request at the cheapest target with a free slot, or at the
	 * cheapest of all targets if none has one.
	 * @return millionths of the currency per request, 0 if the pool has no targets
	 */
	public long cheapestPricePerRequestMicros() {
		Candidate cheapest = cheapest();
		return (cheapest != null) ? cheapest.announcement().capacity().priceMicrosPerRequest() : 0;
	}

	private Candidate cheapest() {
		Candidate best = null;
		for (Candidate candidate : this.candidates) {
			boolean better = best == null || (candidate.hasFreeSlot() && !best.hasFreeSlot())
					|| (candidate.hasFreeSlot() == best.hasFreeSlot()
							&& TargetCosts.referencePriceMicros(candidate.announcement()) < TargetCosts
								.referencePriceMicros(best.announcement()));
			if (better) {
				best = candidate;
			}
		}
		return best;
	}

	double nanosPerWorkUnit() {
		return this.nanosPerWorkUnit.orElse(DEFAULT_NANOS_PER_WORK_UNIT);
	}

	long minPriceMicros() {
		return this.minPriceMicros;
	}

	double meanUtilisation() {
		return this.outstanding / Math.max(1, this.slots);
	}

	double utilisationQuantile(double quantile) {
		double[] utilisations = this.candidates.stream().mapToDouble(Candidate::utilisation).sorted().toArray();
		return utilisations[(int) Math.min(utilisations.length - 1, quantile * utilisations.length)];
	}

	void recordFirstByte(double workUnits, long nanos) {
		this.nanosPerWorkUnit.add(nanos / workUnits);
	}

	void recordCompletion(long nanos, long tokens) {
		this.serviceTimeNanos.add(nanos);
		this.meanAnswerTokens.add(tokens);
	}

}
