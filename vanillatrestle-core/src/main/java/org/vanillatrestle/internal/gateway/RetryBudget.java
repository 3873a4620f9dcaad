package org.vanillatrestle.internal.gateway;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SortedSet;
import java.util.concurrent.TimeUnit;

import org.vanillatrestle.ServiceName;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.retry.BegunAnswers;

/**
 * Limits the retries of all VMs together to a fraction of the requests plus an allowance.
 * <p>
 * The VMs exchange no messages for this. In any window a VM sends retries for half of the
 * fraction of its own requests in this window and the one before. The sum over all VMs is
 * then at most the fraction of the requests in the busier one of the two windows, however
 * callers move between VMs. The allowance is divided among the data centres that the
 * settings name, and in each among its VMs, so that regions that don't know of each other
 * keep to their parts. Unless the deployment starts for the first time, a VM has no part
 * until it has been known for a whole window: its predecessor may have used the part, and
 * the other VMs have to reduce theirs.
 * <p>
 * As long as answers that have begun are in progress, a share is kept for their
 * continuations: breaking them off wastes more than a new request that is refused.
 * <p>
 * Invariant: in any window the retries granted here that arrive in it, up to
 * {@link #ARRIVAL_BUCKETS} later, don't exceed this VM's part. Not thread safe.
 */
public final class RetryBudget {

	/**
	 * A window's retries are granted for the requests in two windows.
	 */
	private static final double GRANTED_REQUEST_FRACTION = 0.5;

	/**
	 * The fraction of the allowance that is divided. The rest is a reserve for a data
	 * centre whose VMs don't all know of each other.
	 */
	private static final double DIVIDED_ALLOWANCE_FRACTION = 0.6;

	/**
	 * Time in which the VMs of a data centre learn of a new one.
	 */
	private static final long JOINING_NANOS = TimeUnit.SECONDS.toNanos(2);

	private static final int BUCKET_COUNT = 10;

	/**
	 * Time from a grant to the arrival at a target: a retry that waits for a target
	 * arrives in a later window than the one in which it was granted.
	 */
	private static final int ARRIVAL_BUCKETS = 2;

	/**
	 * The buckets in which retries are granted that may arrive within one window, of
	 * which the first and the last are counted in part.
	 */
	private static final int RETRY_BUCKET_COUNT = BUCKET_COUNT + ARRIVAL_BUCKETS + 1;

	/**
	 * The whole buckets from the start of the window before to the first bucket whose
	 * retries may arrive in the window.
	 */
	private static final int EARLIER_REQUEST_BUCKET_COUNT = BUCKET_COUNT - ARRIVAL_BUCKETS - 1;

	private static final int REQUEST_BUCKET_COUNT = RETRY_BUCKET_COUNT + EARLIER_REQUEST_BUCKET_COUNT;

	private final VmId self;

	private final double ratio;

	private final double dataCentreAllowance;

	private final long windowNanos;

	private final long probationNanos;

	private final Map<ServiceName, Window> windows = new HashMap<>();

	// never decreases, as a VM that can't be reached may still send retries
	private int vmCount;

	private long joinedNanos;

	/**
	 * Creates a budget from which no retry has been granted.
	 * @param self this VM
	 * @param ratio the retries allowed per request
	 * @param allowance the retries allowed in addition in a window, for all VMs together
	 * @param windowNanos the length of the window in nanoseconds
	 * @param dataCentreCount the data centres among which the allowance is divided
	 * @param founding whether the deployment starts for the first time
	 */
	public RetryBudget(VmId self, double ratio, double allowance, long windowNanos, int dataCentreCount,
			boolean founding) {
		this.self = self;
		this.ratio = ratio;
		this.dataCentreAllowance = DIVIDED_ALLOWANCE_FRACTION * allowance / Math.max(1, dataCentreCount);
		this.windowNanos = windowNanos;
		this.probationNanos = founding ? 0 : windowNanos + JOINING_NANOS;
	}

	/**
	 * Sets the entry VMs of this VM's data centre as reported by the control VMs. A set
	 * without this VM is ignored: then the others may not know of it.
	 * @param reported the VMs
	 * @param nowNanos the monotonic time
	 */
	public void setMembers(SortedSet<VmId> reported, long nowNanos) {
		if (!reported.contains(this.self)) {
			return;
		}
		if (this.vmCount == 0) {
			this.joinedNanos = nowNanos;
		}
		this.vmCount = Math.max(this.vmCount, reported.size());
	}

	/**
	 * Counts a request.
	 * @param service the service of the request
	 * @param nowNanos the monotonic time
	 */
	public void recordRequest(ServiceName service, long nowNanos) {
		window(service, nowNanos).requests[0]++;
	}

	/**
	 * Notes that a caller has got the first part of an answer, which a retry may have to
	 * continue.
	 * @param service the service of the request
	 * @param nowNanos the monotonic time
	 */
	public void answerBegan(ServiceName service, long nowNanos) {
		window(service, nowNanos).begunAnswers.began();
	}

	/**
	 * Notes that an answer that had begun has ended.
	 * @param service the service of the request
	 * @param nowNanos the monotonic time
	 */
	public void begunAnswerEnded(ServiceName service, long nowNanos) {
		window(service, nowNanos).begunAnswers.ended();
	}

	/**
	 * Requests permission for one retry.
	 * @param service the service of the request
	 * @param purpose what the retry is for
	 * @param nowNanos the monotonic time
	 * @return whether the retry may be sent; if so, it is counted
	 */
	public boolean tryRetry(ServiceName service, Purpose purpose, long nowNanos) {
		if (state(service, purpose, nowNanos).left() < 1) {
			return false;
		}
		window(service, nowNanos).retries[0]++;
		return true;
	}

	/**
	 * Requests permission to send a granted retry that has waited. One that may arrive
	 * later than {@link #ARRIVAL_BUCKETS} after its grant needs a new grant, which takes
	 * the place of the former one.
	 * @param service the service of the request
	 * @param purpose what the retry is for
	 * @param grantedNanos the monotonic time of its grant
	 * @param nowNanos the monotonic time
	 * @return the time of the grant under which it may be sent now, empty if it has to
	 * wait
	 */
	public OptionalLong tryRenew(ServiceName service, Purpose purpose, long grantedNanos, long nowNanos) {
		Window window = window(service, nowNanos);
		long age = bucket(nowNanos) - bucket(grantedNanos);
		if (age < ARRIVAL_BUCKETS) {
			return OptionalLong.of(grantedNanos);
		}
		int withdrawn = (age < RETRY_BUCKET_COUNT) ? 1 : 0;
		int grantedBucket = (int) Math.min(age, RETRY_BUCKET_COUNT - 1);
		window.retries[grantedBucket] -= withdrawn;
		if (tryRetry(service, purpose, nowNanos)) {
			return OptionalLong.of(nowNanos);
		}
		window.retries[grantedBucket] += withdrawn;
		return OptionalLong.empty();
	}

	/**
	 * Returns the state of a service's budget.
	 * @param service the service
	 * @param purpose what a retry would be for
	 * @param nowNanos the monotonic time
	 * @return the state
	 */
	public State state(ServiceName service, Purpose purpose, long nowNanos) {
		Window window = window(service, nowNanos);
		return new State(sum(window.requests, BUCKET_COUNT), sum(window.retries, RETRY_BUCKET_COUNT), this.vmCount,
				left(window, purpose, allowance(nowNanos)));
	}

	// the least that is left in a window that begins with one of the buckets
	private double left(Window window, Purpose purpose, double allowance) {
		double left = Double.MAX_VALUE;
		long requests = sum(window.requests, EARLIER_REQUEST_BUCKET_COUNT);
		long retries = 0;
		for (int i = 0; i < RETRY_BUCKET_COUNT; i++) {
			requests += window.requests[EARLIER_REQUEST_BUCKET_COUNT + i];
			retries += window.retries[i];
			double granted = GRANTED_REQUEST_FRACTION * this.ratio * requests + allowance;
			double reserved = (purpose == Purpose.BEGUN_ANSWER) ? 0 : window.begunAnswers.reserved(granted);
			left = Math.min(left, granted - reserved - retries);
		}
		return left;
	}

	private double allowance(long nowNanos) {
		boolean hasPart = this.vmCount > 0 && nowNanos - this.joinedNanos >= this.probationNanos;
		return hasPart ? this.dataCentreAllowance / this.vmCount : 0;
	}

	private static long sum(long[] counts, int length) {
		return Arrays.stream(counts, 0, length).sum();
	}

	private Window window(ServiceName service, long nowNanos) {
		Window window = this.windows.computeIfAbsent(service, (key) -> new Window());
		window.advance(bucket(nowNanos));
		return window;
	}

	private long bucket(long nanos) {
		return Math.floorDiv(nanos, Math.max(1, this.windowNanos / BUCKET_COUNT));
	}

	/**
	 * What a retry is for.
	 */
	public enum Purpose {

		/** It continues an answer of which the caller has a part. */
		BEGUN_ANSWER,

		/**
		 * It repeats a request whose answer has not begun, or runs beside an attempt that
		 * is only silent.
		 */
		OTHER

	}

	/**
	 * The state of the budget of one service.
	 *
	 * @param requests the requests in the window
	 * @param retries the retries granted that may arrive in the window
	 * @param vmCount the VMs among which the data centre's part of the allowance is
	 * divided, 0 if this VM is not known to the control VMs
	 * @param left the retries that may still be sent now for this purpose
	 */
	public record State(long requests, long retries, int vmCount, double left) {
	}

	/**
	 * The counts of a sliding window, in buckets of equal length, the current one first.
	 */
	private static final class Window {

		private final long[] requests = new long[REQUEST_BUCKET_COUNT];

		private final long[] retries = new long[RETRY_BUCKET_COUNT];

		// in progress at this VM, for the callers that asked it
		private final BegunAnswers begunAnswers = new BegunAnswers();

		private long currentBucket = Long.MIN_VALUE;

		void advance(long newBucket) {
			long steps = (this.currentBucket == Long.MIN_VALUE) ? 0
					: Math.min(newBucket - this.currentBucket, REQUEST_BUCKET_COUNT);
			for (long i = 0; i < steps; i++) {
				shift(this.requests);
				shift(this.retries);
			}
			this.currentBucket = Math.max(newBucket, this.currentBucket);
		}

		private static void shift(long[] counts) {
			System.arraycopy(counts, 0, counts, 1, counts.length - 1);
			counts[0] = 0;
		}

	}

}
