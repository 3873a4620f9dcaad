package org.vanillatrestle.internal.gateway;

/**
 * The decision whether a request is served in this region, forwarded to another region,
 * queued or refused.
 * <p>
 * Immutable and thread safe.
 *
 * @param action what is done with the request
 * @param expectedMillis the estimated time in milliseconds until the answer begins
 */
public record Placement(Action action, long expectedMillis) {

	/**
	 * A local wait is compared with the wait in another region only if it exceeds this
	 * fraction of the objective.
	 */
	private static final double COMPARE_REGIONS_FRACTION = 0.4;

	/**
	 * The wait in another region must be shorter than this fraction of the local wait.
	 */
	private static final double MAX_REMOTE_WAIT_FRACTION = 0.75;

	/**
	 * The margin by which the harmful reading share in another region must be below the
	 * request's limit.
	 */
	private static final double REMOTE_READING_MARGIN = 0.2;

	/**
	 * Any request may wait behind others for this fraction of the objective, however long
	 * its own prompt takes to read. Reading the longest prompts alone takes most of the
	 * objective.
	 */
	private static final double QUEUE_FRACTION = 0.5;

	/**
	 * Decides what is done with a request.
	 * @param local the estimate for this region
	 * @param remote the estimate for the best other region
	 * @param maxReadingShare the highest harmful reading share of a target at which it
	 * may still get the request
	 * @param objectiveMillis the time in milliseconds in which the answer should begin
	 * @param readMillis the time in milliseconds to read the request's own prompt
	 * @param leftMillis the time in milliseconds until the request's deadline
	 * @return the decision
	 */
	public static Placement decide(Estimate local, Estimate remote, double maxReadingShare, long objectiveMillis,
			long readMillis, long leftMillis) {
		boolean localTooBusy = local.hasCapacity() && local.harmfulReadingShare() > maxReadingShare;
		boolean remoteHasMargin = remote.hasCapacity()
				&& remote.harmfulReadingShare() + REMOTE_READING_MARGIN <= maxReadingShare;
		boolean remoteIsFaster = local.waitMillis() > COMPARE_REGIONS_FRACTION * objectiveMillis
				&& remote.waitMillis() < MAX_REMOTE_WAIT_FRACTION * local.waitMillis();
		boolean forwards = remoteHasMargin && (localTooBusy || remoteIsFaster);
		if (localTooBusy && !forwards) {
			return new Placement(Action.REFUSE, 2 * objectiveMillis);
		}
		Estimate chosen = forwards ? remote : local;
		if (!chosen.hasCapacity()) {
			return new Placement(Action.QUEUE, Estimate.NO_CAPACITY);
		}
		boolean tooLate = chosen.waitMillis() > Math.min(leftMillis, maxWaitMillis(objectiveMillis, readMillis));
		Action action = forwards ? Action.FORWARD : Action.SERVE_LOCALLY;
		return new Placement(tooLate ? Action.REFUSE : action, chosen.waitMillis());
	}

	/**
	 * Decides where an answer that has begun is continued. The limits for new requests
	 * only prefer one region to the other: breaking the answer off would waste all that
	 * it has cost, so that it goes wherever a target has free capacity, and otherwise
	 * waits.
	 * @param local the estimate for this region
	 * @param remote the estimate for the best other region
	 * @param maxReadingShare the highest harmful reading share of a target at which it
	 * gets new requests
	 * @param objectiveMillis the time in milliseconds in which an answer should begin
	 * @param readMillis the time in milliseconds to read the request's own prompt
	 * @param leftMillis the time in milliseconds until the request's deadline
	 * @return the decision, which is never to refuse
	 */
	public static Placement decideForBegunAnswer(Estimate local, Estimate remote, double maxReadingShare,
			long objectiveMillis, long readMillis, long leftMillis) {
		Placement asNew = decide(local, remote, maxReadingShare, objectiveMillis, readMillis, leftMillis);
		if (asNew.hasPlace()) {
			return asNew;
		}
		boolean forwards = remote.waitMillis() < local.waitMillis();
		Estimate best = forwards ? remote : local;
		if (!best.hasCapacity()) {
			return new Placement(Action.QUEUE, Estimate.NO_CAPACITY);
		}
		return new Placement(forwards ? Action.FORWARD : Action.SERVE_LOCALLY, best.waitMillis());
	}

	/**
	 * Returns the wait in milliseconds beyond which a request is refused, because its
	 * answer and those of the requests behind it would be late. A request whose own
	 * prompt takes long to read may still wait behind others.
	 */
	private static double maxWaitMillis(long objectiveMillis, long readMillis) {
		return Math.max(objectiveMillis, readMillis + QUEUE_FRACTION * objectiveMillis);
	}

	/**
	 * Returns whether the request can be sent somewhere at once.
	 * @return whether it is served in this region or forwarded
	 */
	public boolean hasPlace() {
		return this.action == Action.SERVE_LOCALLY || this.action == Action.FORWARD;
	}

	/**
	 * What is done with a request.
	 */
	public enum Action {

		/** The request is sent to a target of this region. */
		SERVE_LOCALLY,

		/** The request is sent to a VM of another region. */
		FORWARD,

		/** The request is queued because no target has free capacity. */
		QUEUE,

		/**
		 * The request is refused: its answer would be late, or it would delay streams.
		 */
		REFUSE

	}

	/**
	 * The estimate for serving a request in one region.
	 *
	 * @param waitMillis the estimated time in milliseconds until the answer begins,
	 * {@link #NO_CAPACITY} if no target has free capacity
	 * @param harmfulReadingShare the share of its time that the target spends reading
	 * prompts, 0 if this does not delay its streams
	 */
	public record Estimate(long waitMillis, double harmfulReadingShare) {

		public static final long NO_CAPACITY = Long.MAX_VALUE;

		public static final Estimate NONE = new Estimate(NO_CAPACITY, 0);

		/**
		 * Returns the wait as it is written to the log.
		 * @return the time in milliseconds, -1 if no target has free capacity
		 */
		public long loggedWaitMillis() {
			return hasCapacity() ? this.waitMillis : -1;
		}

		public boolean hasCapacity() {
			return this.waitMillis != NO_CAPACITY;
		}

	}

}
