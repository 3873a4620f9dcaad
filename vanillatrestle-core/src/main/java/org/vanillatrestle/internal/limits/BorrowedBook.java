package org.vanillatrestle.internal.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.vanillatrestle.VmId;

/**
 * What one VM has borrowed for one service.
 * <p>
 * A loan lasts from when it was asked for, by this VM's clock. Only the answer to the
 * latest request to a lender counts. Requests in flight are put down to a loan for no
 * longer than the lender counts them: until the service's deadline after its end. Not
 * thread safe.
 */
final class BorrowedBook {

	private final LimitSettings settings;

	private final Map<VmId, Borrowed> loans = new HashMap<>();

	private long nextSequence = 1;

	private long deadlineNanos;

	BorrowedBook(LimitSettings settings) {
		this.settings = settings;
	}

	/**
	 * Sets the longest that a request may be in flight.
	 * @param nanos the deadline
	 */
	void deadline(long nanos) {
		this.deadlineNanos = nanos;
	}

	LimitShare borrowed(long nowNanos) {
		LimitShare sum = LimitShare.NONE;
		for (Borrowed loan : this.loans.values()) {
			sum = sum.plus(loan.usable(nowNanos));
		}
		return sum;
	}

	long firstExpiryNanos(long nowNanos) {
		long first = Long.MAX_VALUE;
		for (Borrowed loan : this.loans.values()) {
			if (loan.expiresNanos > nowNanos && !loan.amount.isNone()) {
				first = Math.min(first, loan.expiresNanos);
			}
		}
		return first;
	}

	List<VmId> lenders(long nowNanos) {
		List<VmId> result = new ArrayList<>();
		this.loans.forEach((lender, loan) -> {
			if (!loan.usable(nowNanos).isNone() || loan.held(nowNanos, this.deadlineNanos) > 0) {
				result.add(lender);
			}
		});
		result.sort(null);
		return result;
	}

	LimitShare from(VmId lender, long nowNanos) {
		Borrowed loan = this.loans.get(lender);
		return (loan != null) ? loan.usable(nowNanos) : LimitShare.NONE;
	}

	/**
	 * Prepares a request; from now on no more than the kept part is used until it is
	 * answered.
	 * @param lender the lender
	 * @param kept the part of the current loan to go on using
	 * @param excessInFlight requests in flight that only loans account for and that no
	 * other lender's loan was said to cover
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return what to put into the request as kept, requests in flight included
	 */
	LimitShare ask(VmId lender, LimitShare kept, long excessInFlight, long nowNanos) {
		Borrowed loan = this.loans.computeIfAbsent(lender, (key) -> new Borrowed());
		LimitShare usable = loan.usable(nowNanos).min(kept);
		loan.amount = usable;
		long held = loan.held(nowNanos, this.deadlineNanos);
		loan.heldInFlight = Math.max(usable.inFlight(), Math.min(held, excessInFlight));
		loan.sequence = this.nextSequence++;
		loan.askedNanos = nowNanos;
		return new LimitShare(usable.milliRequestsPerSecond(), usable.tokensPerSecond(), loan.heldInFlight);
	}

	long sequence(VmId lender) {
		return this.loans.get(lender).sequence;
	}

	long heldInFlight(VmId lender, long nowNanos) {
		Borrowed loan = this.loans.get(lender);
		return (loan != null) ? loan.held(nowNanos, this.deadlineNanos) : 0;
	}

	void answered(VmId lender, LimitMessage.LoanAnswer answer, long nowNanos) {
		Borrowed loan = this.loans.get(lender);
		if (loan == null || loan.sequence != answer.sequence()) {
			return;
		}
		long expiresNanos = loan.askedNanos + this.settings.loanNanos();
		if (expiresNanos <= nowNanos) {
			return;
		}
		loan.amount = answer.granted();
		loan.heldInFlight = Math.max(loan.held(nowNanos, this.deadlineNanos), answer.granted().inFlight());
		loan.expiresNanos = expiresNanos;
	}

	/**
	 * Stops using a lender's loan and ignores answers that are still on their way.
	 * @param lender the lender
	 */
	void drop(VmId lender) {
		Borrowed loan = this.loans.get(lender);
		if (loan != null) {
			loan.amount = LimitShare.NONE;
			loan.sequence = this.nextSequence++;
		}
	}

	void released(VmId lender) {
		this.loans.computeIfPresent(lender, (key, loan) -> {
			loan.heldInFlight = 0;
			return loan;
		});
	}

	private static final class Borrowed {

		private LimitShare amount = LimitShare.NONE;

		private long heldInFlight;

		private long sequence;

		private long askedNanos;

		private long expiresNanos = Long.MIN_VALUE;

		long held(long nowNanos, long deadlineNanos) {
			boolean counted = this.expiresNanos != Long.MIN_VALUE && nowNanos < this.expiresNanos + deadlineNanos;
			return counted ? this.heldInFlight : 0;
		}

		LimitShare usable(long nowNanos) {
			return (nowNanos < this.expiresNanos) ? this.amount : LimitShare.NONE;
		}

	}

}
