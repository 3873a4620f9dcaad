package org.vanillatrestle.internal.select;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.vanillatrestle.internal.request.PoolKey;

/**
 * The targets of one pool as this VM sees them, and the pool's usual speed.
 * <p>
 * At most the settings' share of the candidates is ejected. Not thread safe: owned by the
 * VM's event loop.
 */
public final class Pool {

	private static final double SAMPLE_WEIGHT = 0.05;

	private static final double DEFAULT_NANOS_PER_UNIT = 250_000;

	private static final double DEFAULT_SERVICE_NANOS = 2e9;

	private static final double DEFAULT_TOKENS = 100;

	private static final double COLD_SHARE = 0.4;

	private final PoolKey key;

	private final Average nanosPerUnit = new Average(SAMPLE_WEIGHT);

	private final Average serviceNanos = new Average(SAMPLE_WEIGHT);

	private final Average answerTokens = new Average(SAMPLE_WEIGHT);

	private List<Candidate> candidates = List.of();

	private boolean seen;

	private long version = -1;

	private long viewedNanos;

	private long refreshedNanos;

	private long refreshedChanges = -1;

	private double free;

	private double slots;

	private double maxSlots;

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

	boolean needsView(long registryVersion, long nowNanos, long viewNanos) {
		return this.version != registryVersion || nowNanos - this.viewedNanos >= viewNanos;
	}

	boolean firstView() {
		return !this.seen;
	}

	void view(List<Candidate> newCandidates, long registryVersion, long nowNanos) {
		this.candidates = newCandidates;
		this.seen = this.seen || !newCandidates.isEmpty();
		this.version = registryVersion;
		this.viewedNanos = nowNanos;
	}

	/**
	 * Takes over what is known of the targets now, unless nothing has changed.
	 * @param settings the settings
	 * @param changes grows with each change of any target's state
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void refresh(SelectSettings settings, long changes, long nowNanos) {
		if (this.refreshedChanges == changes && this.refreshedNanos == nowNanos) {
			return;
		}
		this.refreshedChanges = changes;
		this.refreshedNanos = nowNanos;
		this.free = 0;
		this.slots = 0;
		this.outstanding = 0;
		this.minPriceMicros = Long.MAX_VALUE;
		int ejected = 0;
		double maxRamp = maxRamp(settings, nowNanos);
		for (Candidate candidate : this.candidates) {
			candidate.refresh(candidate.state().ramp(nowNanos, settings.slowStartNanos()) / maxRamp);
			candidate.eject(isOut(candidate.state(), settings, nowNanos));
			ejected += (candidate.ejected() && !candidate.unreachable()) ? 1 : 0;
			this.minPriceMicros = Math.min(this.minPriceMicros, TargetCosts.referencePrice(candidate.announcement()));
		}
		int allowed = this.candidates.size() * settings.maxEjectedPercent() / 100;
		if (ejected > allowed) {
			readmit(ejected - allowed);
		}
		for (Candidate candidate : this.candidates) {
			this.free += candidate.free();
			this.slots += candidate.ejected() ? 0 : candidate.slots();
			this.outstanding += candidate.ejected() ? 0 : candidate.outstanding();
		}
		this.maxSlots = Math.max(this.maxSlots, this.slots);
		noteOutage(nowNanos);
	}

	private double maxRamp(SelectSettings settings, long nowNanos) {
		double max = 0;
		for (Candidate candidate : this.candidates) {
			max = Math.max(max, candidate.state().ramp(nowNanos, settings.slowStartNanos()));
		}
		return max;
	}

	private boolean isOut(TargetState state, SelectSettings settings, long nowNanos) {
		if (state.silentNanos(nowNanos) > silenceLimitNanos()) {
			state.eject(settings, nowNanos);
		}
		return state.ejected(nowNanos) || state.isUnreachable();
	}

	private long silenceLimitNanos() {
		return (long) Math.max(2e9, 2 * this.serviceNanos.orElse(DEFAULT_SERVICE_NANOS));
	}

	private void readmit(int count) {
		List<Candidate> out = new ArrayList<>(this.candidates);
		out.removeIf((candidate) -> !candidate.ejected() || candidate.unreachable());
		out.sort(Comparator.comparingLong((candidate) -> candidate.state().ejectedUntilNanos()));
		out.subList(0, count).forEach((candidate) -> candidate.eject(false));
	}

	/**
	 * Returns the requests that could start at once.
	 * @return requests
	 */
	public double free() {
		return this.free;
	}

	/**
	 * Returns the requests that the targets process at the same time.
	 * @return requests
	 */
	public double slots() {
		return this.slots;
	}

	/**
	 * Returns the slots to reckon with while targets are gone for a short time.
	 * @return requests
	 */
	public double expectedSlots() {
		return Math.max(1, Math.max(this.slots, this.maxSlots / 2));
	}

	/**
	 * Tells whether no target can be reached.
	 * @return whether the pool has no slots
	 */
	public boolean isEmpty() {
		return this.slots < 1;
	}

	private void noteOutage(long nowNanos) {
		if (isEmpty() && !this.empty) {
			this.emptySinceNanos = nowNanos;
		}
		this.empty = isEmpty();
	}

	/**
	 * Returns for how long no target could be reached.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return nanoseconds, 0 while some target can be reached
	 */
	public long outageNanos(long nowNanos) {
		return this.empty ? nowNanos - this.emptySinceNanos : 0;
	}

	/**
	 * Tells whether the pool had targets before.
	 * @return whether it ever had
	 */
	public boolean wasSeen() {
		return this.seen;
	}

	/**
	 * Returns the expected wait of a request behind others.
	 * @param ahead the requests ahead of it
	 * @return nanoseconds
	 */
	public long waitNanos(double ahead) {
		double excess = ahead + 1 - this.free;
		if (excess <= 0) {
			return 0;
		}
		return (long) (excess * serviceNanos() / Math.max(1, this.slots));
	}

	/**
	 * Returns the usual time from a dispatch to the end of the answer.
	 * @return nanoseconds
	 */
	public double serviceNanos() {
		return this.serviceNanos.orElse(DEFAULT_SERVICE_NANOS);
	}

	/**
	 * Returns the usual tokens of an answer.
	 * @return tokens
	 */
	public double answerTokens() {
		return this.answerTokens.orElse(DEFAULT_TOKENS);
	}

	/**
	 * Returns the time lost where a prompt is not cached.
	 * @param promptTokens the prompt's tokens
	 * @return nanoseconds
	 */
	public long coldNanos(int promptTokens) {
		return (long) (COLD_SHARE * nanosPerUnit() * promptTokens);
	}

	/**
	 * Returns the price at the cheapest target with room, or at the cheapest of all.
	 * @return millionths of the currency for a thousand tokens
	 */
	public long cheapestPerThousandTokensMicros() {
		Candidate cheapest = cheapest();
		return (cheapest != null) ? cheapest.announcement().capacity().priceMicrosPerThousandTokens() : 0;
	}

	/**
	 * Returns the price at the cheapest target with room, or at the cheapest of all.
	 * @return millionths of the currency for a request
	 */
	public long cheapestPerRequestMicros() {
		Candidate cheapest = cheapest();
		return (cheapest != null) ? cheapest.announcement().capacity().priceMicrosPerRequest() : 0;
	}

	private Candidate cheapest() {
		Candidate best = null;
		for (Candidate candidate : this.candidates) {
			boolean better = best == null || (candidate.hasRoom() && !best.hasRoom())
					|| (candidate.hasRoom() == best.hasRoom() && TargetCosts
						.referencePrice(candidate.announcement()) < TargetCosts.referencePrice(best.announcement()));
			if (better) {
				best = candidate;
			}
		}
		return best;
	}

	double nanosPerUnit() {
		return this.nanosPerUnit.orElse(DEFAULT_NANOS_PER_UNIT);
	}

	long minPriceMicros() {
		return this.minPriceMicros;
	}

	double meanUse() {
		return this.outstanding / Math.max(1, this.slots);
	}

	double useQuantile(double quantile) {
		double[] uses = this.candidates.stream().mapToDouble(Candidate::use).sorted().toArray();
		return uses[(int) Math.min(uses.length - 1, quantile * uses.length)];
	}

	void firstByteMeasured(double units, long nanos) {
		this.nanosPerUnit.add(nanos / units);
	}

	void serviceMeasured(long nanos, long tokens) {
		this.serviceNanos.add(nanos);
		this.answerTokens.add(tokens);
	}

}
