package org.vanillatrestle.internal.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.vanillatrestle.VmId;

/**
 * The loans that one VM has received from other VMs for one service.
 * <p>
 * The duration of a loan starts when the loan is requested, by this VM's clock. Only the
 * answer to the latest request to a lender is applied. Requests in flight are attributed
 * to a loan for no longer than the lender reserves them: until the loan has ended and the
 * service's deadline has elapsed since then. Not thread safe.
 */
final class BorrowedLoans {

	private final LimitSettings settings;

	private final Map<VmId, Loan> loans = new HashMap<>();

	private long nextSequence = 1;

	private long deadlineNanos;

	BorrowedLoans(LimitSettings settings) {
		this.settings = settings;
	}

	/**
	 * Sets the longest time that a request may be in flight.
	 * @param newDeadlineNanos the deadline in nanoseconds after the start of the request
	 */
	void setDeadline(long newDeadlineNanos) {
		this.deadlineNanos = newDeadlineNanos;
	}

	LimitShare usableTotal(long nowNanos) {
		LimitShare sum = LimitShare.NONE;
		for (Loan loan : this.loans.values()) {
			sum = sum.plus(loan.usable(nowNanos));
		}
		return sum;
	}

	long firstExpiryNanos(long nowNanos) {
		long first = Long.MAX_VALUE;
		for (Loan loan : this.loans.values()) {
			if (loan.expiresNanos > nowNanos && !loan.amount.isNone()) {
				first = Math.min(first, loan.expiresNanos);
			}
		}
		return first;
	}

	List<VmId> lenders(long nowNanos) {
		List<VmId> result = new ArrayList<>();
		this.loans.forEach((lender, loan) -> {
			if (!loan.usable(nowNanos).isNone() || loan.countedInFlight(nowNanos, this.deadlineNanos) > 0) {
				result.add(lender);
			}
		});
		result.sort(null);
		return result;
	}

	LimitShare usableFrom(VmId lender, long nowNanos) {
		Loan loan = this.loans.get(lender);
		return (loan != null) ? loan.usable(nowNanos) : LimitShare.NONE;
	}

	/**
	 * Prepares a request for a loan. Until the request is answered, this VM uses no more
	 * than the kept part of the current loan.
	 * @param lender the lender
	 * @param kept the part of the current loan that stays in use
	 * @param excessInFlight the number of requests in flight that exceed this VM's own
	 * share and have not been attributed to the loan of another lender
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the kept share to state in the request, including the requests in flight
	 * that are attributed to the loan
	 */
	LimitShare prepareRequest(VmId lender, LimitShare kept, long excessInFlight, long nowNanos) {
		Loan loan = this.loans.computeIfAbsent(lender, (key) -> new Loan());
		LimitShare usable = loan.usable(nowNanos).min(kept);
		loan.amount = usable;
		long countedInFlight = loan.countedInFlight(nowNanos, this.deadlineNanos);
		loan.attributedInFlight = Math.max(usable.inFlight(), Math.min(countedInFlight, excessInFlight));
		loan.sequence = this.nextSequence++;
		loan.requestedNanos = nowNanos;
		return new LimitShare(usable.milliRequestsPerSecond(), usable.tokensPerSecond(), loan.attributedInFlight);
	}

	long sequence(VmId lender) {
		return this.loans.get(lender).sequence;
	}

	long attributedInFlight(VmId lender, long nowNanos) {
		Loan loan = this.loans.get(lender);
		return (loan != null) ? loan.countedInFlight(nowNanos, this.deadlineNanos) : 0;
	}

	void applyAnswer(VmId lender, LimitMessage.LoanAnswer answer, long nowNanos) {
		Loan loan = this.loans.get(lender);
		if (loan == null || loan.sequence != answer.sequence()) {
			return;
		}
		long expiresNanos = loan.requestedNanos + this.settings.loanDurationNanos();
		if (expiresNanos <= nowNanos) {
			return;
		}
		loan.amount = answer.granted();
		loan.attributedInFlight = Math.max(loan.countedInFlight(nowNanos, this.deadlineNanos),
				answer.granted().inFlight());
		loan.expiresNanos = expiresNanos;
	}

	/**
	 * Stops using a lender's loan and ignores answers to requests that have already been
	 * sent.
	 * @param lender the lender
	 */
	void stopUsing(VmId lender) {
		Loan loan = this.loans.get(lender);
		if (loan != null) {
			loan.amount = LimitShare.NONE;
			loan.sequence = this.nextSequence++;
		}
	}

	void clearAttributedInFlight(VmId lender) {
		this.loans.computeIfPresent(lender, (key, loan) -> {
			loan.attributedInFlight = 0;
			return loan;
		});
	}

	private static final class Loan {

		private LimitShare amount = LimitShare.NONE;

		private long attributedInFlight;

		private long sequence;

		private long requestedNanos;

		private long expiresNanos = Long.MIN_VALUE;

		long countedInFlight(long nowNanos, long deadlineNanos) {
			boolean counted = this.expiresNanos != Long.MIN_VALUE && nowNanos < this.expiresNanos + deadlineNanos;
			return counted ? this.attributedInFlight : 0;
		}

		LimitShare usable(long nowNanos) {
			return (nowNanos < this.expiresNanos) ? this.amount : LimitShare.NONE;
		}

	}

}
