package org.vanillatrestle.internal.limits;

import java.util.HashMap;
import java.util.Map;

import org.vanillatrestle.VmId;

/**
 * The loans that one VM has granted to other VMs from its own share of one service's
 * limits.
 * <p>
 * A loan stays reserved until the borrower can no longer use it: until it has expired by
 * the borrower's clock, or the borrower has stated that it keeps a smaller part. Requests
 * in flight may outlast a loan, by no more than the service's deadline. Not thread safe.
 */
final class LentLoans {

	private final LimitSettings settings;

	private final Map<VmId, Loan> loans = new HashMap<>();

	LentLoans(LimitSettings settings) {
		this.settings = settings;
	}

	/**
	 * Returns the sum of the loans to all borrowers but one.
	 * @param excluded the borrower whose loan is not counted, or {@code null} to count
	 * all
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the sum
	 */
	LimitShare lentExcept(VmId excluded, long nowNanos) {
		LimitShare sum = LimitShare.NONE;
		for (Map.Entry<VmId, Loan> entry : this.loans.entrySet()) {
			if (!entry.getKey().equals(excluded)) {
				sum = sum.plus(entry.getValue().reserved(nowNanos));
			}
		}
		return sum;
	}

	boolean isCurrent(VmId borrower, LimitMessage.LoanRequest request, long nowNanos) {
		Loan current = this.loans.get(borrower);
		if (current == null || current.inFlightReservedUntilNanos <= nowNanos) {
			return true;
		}
		if (request.incarnation() != current.incarnation) {
			return request.incarnation() > current.incarnation;
		}
		return request.sequence() > current.sequence;
	}

	/**
	 * Replaces a borrower's loan. The part that the borrower states it keeps stays
	 * reserved, up to the size of its previous loan.
	 * @param borrower the borrower
	 * @param request its request, for which {@link #isCurrent} must be true
	 * @param granted the share that is newly granted
	 * @param deadlineNanos the longest time in nanoseconds that a request may be in
	 * flight
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void lend(VmId borrower, LimitMessage.LoanRequest request, LimitShare granted, long deadlineNanos, long nowNanos) {
		Loan previous = this.loans.get(borrower);
		LimitShare previousReserved = (previous != null) ? previous.reserved(nowNanos) : LimitShare.NONE;
		LimitShare amount = granted.max(request.kept().min(previousReserved));
		long expiresNanos = nowNanos + this.settings.lenderLoanDurationNanos();
		long inFlightReservedUntilNanos = expiresNanos + this.settings.withClockDriftMargin(deadlineNanos);
		this.loans.put(borrower,
				new Loan(amount, request.incarnation(), request.sequence(), expiresNanos, inFlightReservedUntilNanos));
	}

	void prune(long nowNanos) {
		this.loans.values().removeIf((loan) -> loan.inFlightReservedUntilNanos <= nowNanos);
	}

	private record Loan(LimitShare amount, long incarnation, long sequence, long expiresNanos,
			long inFlightReservedUntilNanos) {

		LimitShare reserved(long nowNanos) {
			if (nowNanos < this.expiresNanos) {
				return this.amount;
			}
			return (nowNanos < this.inFlightReservedUntilNanos) ? new LimitShare(0, 0, this.amount.inFlight())
					: LimitShare.NONE;
		}

	}

}
