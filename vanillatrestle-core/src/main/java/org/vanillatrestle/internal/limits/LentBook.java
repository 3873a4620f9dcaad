package org.vanillatrestle.internal.limits;

import java.util.HashMap;
import java.util.Map;

import org.vanillatrestle.VmId;

/**
 * What one VM has lent of one service's own share.
 * <p>
 * A loan counts until its borrower can't use it any more: until it has expired by the
 * borrower's clock, or the borrower has said that it keeps less. Requests in flight
 * outlast a loan by at most the service's deadline. Not thread safe.
 */
final class LentBook {

	private final LimitSettings settings;

	private final Map<VmId, Lent> loans = new HashMap<>();

	LentBook(LimitSettings settings) {
		this.settings = settings;
	}

	/**
	 * Returns what is lent, to a borrower excepted.
	 * @param excepted the borrower, or {@code null} for none
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the sum
	 */
	LimitShare lent(VmId excepted, long nowNanos) {
		LimitShare sum = LimitShare.NONE;
		for (Map.Entry<VmId, Lent> entry : this.loans.entrySet()) {
			if (!entry.getKey().equals(excepted)) {
				sum = sum.plus(entry.getValue().counted(nowNanos));
			}
		}
		return sum;
	}

	boolean isCurrent(VmId borrower, LimitMessage.LoanRequest request, long nowNanos) {
		Lent known = this.loans.get(borrower);
		if (known == null || known.heldUntilNanos <= nowNanos) {
			return true;
		}
		if (request.incarnation() != known.incarnation) {
			return request.incarnation() > known.incarnation;
		}
		return request.sequence() > known.sequence;
	}

	/**
	 * Replaces a borrower's loan.
	 * @param borrower the borrower
	 * @param request its request, which must be current
	 * @param granted what is lent now
	 * @param deadlineNanos the longest that a request may be in flight
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void lend(VmId borrower, LimitMessage.LoanRequest request, LimitShare granted, long deadlineNanos, long nowNanos) {
		Lent former = this.loans.get(borrower);
		LimitShare bound = (former != null) ? former.counted(nowNanos) : LimitShare.NONE;
		LimitShare amount = granted.max(request.kept().min(bound));
		long expiresNanos = nowNanos + this.settings.guardNanos();
		long heldUntilNanos = expiresNanos + this.settings.longer(deadlineNanos);
		this.loans.put(borrower,
				new Lent(amount, request.incarnation(), request.sequence(), expiresNanos, heldUntilNanos));
	}

	void prune(long nowNanos) {
		this.loans.values().removeIf((lent) -> lent.heldUntilNanos <= nowNanos);
	}

	private record Lent(LimitShare amount, long incarnation, long sequence, long expiresNanos, long heldUntilNanos) {

		LimitShare counted(long nowNanos) {
			if (nowNanos < this.expiresNanos) {
				return this.amount;
			}
			return (nowNanos < this.heldUntilNanos) ? new LimitShare(0, 0, this.amount.inFlight()) : LimitShare.NONE;
		}

	}

}
