package org.vanillatrestle.internal.limits;

import java.util.ArrayList;
import java.util.List;

import org.vanillatrestle.CustomerId;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.VmId;

/**
 * One VM's part of one service's limits: its own share, minus the loans that it has
 * granted, plus the loans that it has received.
 * <p>
 * The sum of the usable shares of all VMs never exceeds the contract's limit. Not thread
 * safe: owned by the VM's event loop.
 */
final class ServiceLimits {

	private static final int DEMAND_WITH_MARGIN_PERCENT = 105;

	private static final int RESERVE_PERCENT_OF_OWN_SHARE = 2;

	private static final double DEMAND_SAMPLE_WEIGHT = 0.5;

	private final CustomerId customer;

	private final ServiceName service;

	private final LimitSettings settings;

	private final LentLoans lentLoans;

	private final BorrowedLoans borrowedLoans;

	private long revision;

	private LimitShare ownShare = LimitShare.NONE;

	private LimitShare nextOwnShare;

	private long nextOwnShareFromNanos;

	private long deadlineNanos;

	private LimitShare demand = LimitShare.NONE;

	private LimitShare cachedUsable = LimitShare.NONE;

	private long cachedUntilNanos = Long.MIN_VALUE;

	ServiceLimits(CustomerId customer, ServiceName service, LimitSettings settings) {
		this.customer = customer;
		this.service = service;
		this.settings = settings;
		this.lentLoans = new LentLoans(settings);
		this.borrowedLoans = new BorrowedLoans(settings);
	}

	/**
	 * Applies a revision of the contract. A smaller own share takes effect immediately, a
	 * larger one only when all loans under the previous revision have ended.
	 * @param newRevision the number of the revision
	 * @param newOwnShare this VM's own share under the revision
	 * @param newDeadlineNanos the longest time in nanoseconds that a request may be in
	 * flight
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void applyContract(long newRevision, LimitShare newOwnShare, long newDeadlineNanos, long nowNanos) {
		boolean first = this.revision == 0;
		this.revision = newRevision;
		this.deadlineNanos = Math.max(this.deadlineNanos, newDeadlineNanos);
		this.borrowedLoans.setDeadline(this.deadlineNanos);
		this.ownShare = first ? newOwnShare : this.ownShare.min(newOwnShare);
		this.nextOwnShare = newOwnShare;
		this.nextOwnShareFromNanos = nowNanos + this.settings.lenderLoanDurationNanos();
		this.cachedUntilNanos = Long.MIN_VALUE;
	}

	/**
	 * Returns the share that this VM may use now.
	 * @param recovering whether the VM has recently started and may have granted loans
	 * that it no longer knows
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the share
	 */
	LimitShare usable(boolean recovering, long nowNanos) {
		if (nowNanos < this.cachedUntilNanos) {
			return this.cachedUsable;
		}
		this.cachedUsable = ownUsable(null, recovering, nowNanos).plus(this.borrowedLoans.usableTotal(nowNanos));
		this.cachedUntilNanos = Math.min(this.borrowedLoans.firstExpiryNanos(nowNanos), nowNanos + 100_000_000);
		return this.cachedUsable;
	}

	void invalidateCache() {
		this.cachedUntilNanos = Long.MIN_VALUE;
	}

	private LimitShare ownUsable(VmId excluded, boolean recovering, long nowNanos) {
		if (nowNanos >= this.nextOwnShareFromNanos) {
			this.ownShare = this.nextOwnShare;
		}
		if (recovering) {
			return this.ownShare.minus(this.ownShare.percent(this.settings.maxLentPercent()));
		}
		return this.ownShare.minus(this.lentLoans.lentExcept(excluded, nowNanos));
	}

	void recordDemand(LimitShare measured) {
		this.demand = new LimitShare(blend(this.demand.milliRequestsPerSecond(), measured.milliRequestsPerSecond()),
				blend(this.demand.tokensPerSecond(), measured.tokensPerSecond()),
				Math.max(measured.inFlight(), this.demand.inFlight() * 3 / 4));
	}

	/**
	 * Follows a rising demand at once and a falling demand gradually.
	 * @param previous the previous demand
	 * @param measured the measured demand
	 * @return the new demand
	 */
	private static long blend(long previous, long measured) {
		return Math.max(measured, (long) (previous + DEMAND_SAMPLE_WEIGHT * (measured - previous)));
	}

	private LimitShare neededShare() {
		return this.demand.percent(DEMAND_WITH_MARGIN_PERCENT)
			.plus(this.ownShare.percent(RESERVE_PERCENT_OF_OWN_SHARE));
	}

	/**
	 * Adjusts the requested loans to the demand and returns the requests to send.
	 * @param recovering whether the VM has recently started and may have granted loans
	 * that it no longer knows
	 * @param inFlight this VM's number of requests in flight
	 * @param others the VMs that may lend, in the order in which to request loans
	 * @param incarnation this VM's incarnation
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the requests to send
	 */
	List<AddressedLimitMessage> tick(boolean recovering, long inFlight, List<VmId> others, long incarnation,
			long nowNanos) {
		invalidateCache();
		this.lentLoans.prune(nowNanos);
		LimitShare ownUsable = ownUsable(null, recovering, nowNanos);
		LimitShare missing = neededShare().minus(ownUsable);
		List<VmId> lenders = this.borrowedLoans.lenders(nowNanos);
		long excess = Math.max(0, inFlight - ownUsable.inFlight());
		List<AddressedLimitMessage> result = new ArrayList<>();
		for (VmId lender : lenders) {
			LimitShare kept = this.borrowedLoans.usableFrom(lender, nowNanos).min(missing);
			LimitShare request = this.borrowedLoans.prepareRequest(lender, kept, excess, nowNanos);
			excess = Math.max(0, excess - request.inFlight());
			missing = missing.minus(kept);
			result.add(request(lender, incarnation, kept.plus(missing), request));
		}
		int newLenders = 0;
		for (VmId other : others) {
			if (missing.isNone() || newLenders == this.settings.newLendersPerTick()) {
				break;
			}
			if (!lenders.contains(other)) {
				LimitShare request = this.borrowedLoans.prepareRequest(other, LimitShare.NONE, 0, nowNanos);
				result.add(request(other, incarnation, missing, request));
				newLenders++;
			}
		}
		return result;
	}

	private AddressedLimitMessage request(VmId lender, long incarnation, LimitShare wanted, LimitShare kept) {
		return new AddressedLimitMessage(lender, new LimitMessage.LoanRequest(this.customer, this.service,
				this.revision, incarnation, this.borrowedLoans.sequence(lender), wanted, kept));
	}

	/**
	 * Grants a loan from the part of the own share that this VM does not need itself.
	 * @param borrower the VM that requests the loan
	 * @param request the request
	 * @param recovering whether the VM has recently started and may have granted loans
	 * that it no longer knows
	 * @param inFlight this VM's number of requests in flight
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the answer, or {@code null} if the request is outdated
	 */
	LimitMessage.LoanAnswer lend(VmId borrower, LimitMessage.LoanRequest request, boolean recovering, long inFlight,
			long nowNanos) {
		if (!this.lentLoans.isCurrent(borrower, request, nowNanos)) {
			return null;
		}
		LimitShare granted = LimitShare.NONE;
		if (!recovering && request.revision() == this.revision) {
			granted = request.wanted().min(lendable(borrower, inFlight, nowNanos));
		}
		this.lentLoans.lend(borrower, request, granted, this.deadlineNanos, nowNanos);
		invalidateCache();
		return new LimitMessage.LoanAnswer(this.customer, this.service, request.incarnation(), request.sequence(),
				granted);
	}

	private LimitShare lendable(VmId borrower, long inFlight, long nowNanos) {
		LimitShare lentToOthers = this.lentLoans.lentExcept(borrower, nowNanos);
		LimitShare neededHere = neededShare().max(new LimitShare(0, 0, inFlight));
		LimitShare maxLendable = this.ownShare.percent(this.settings.maxLentPercent()).minus(lentToOthers);
		return ownUsable(borrower, false, nowNanos).minus(neededHere).min(maxLendable);
	}

	void applyAnswer(VmId lender, LimitMessage.LoanAnswer answer, long nowNanos) {
		this.borrowedLoans.applyAnswer(lender, answer, nowNanos);
		invalidateCache();
	}

	/**
	 * Stops using the loan of a lender.
	 * @param lender the lender
	 * @param inFlight this VM's number of requests in flight
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return whether no request in flight depends on the loan any more
	 */
	boolean stopUsing(VmId lender, long inFlight, long nowNanos) {
		this.borrowedLoans.stopUsing(lender);
		invalidateCache();
		if (this.borrowedLoans.attributedInFlight(lender, nowNanos) > 0
				&& inFlight > usable(false, nowNanos).inFlight()) {
			return false;
		}
		this.borrowedLoans.clearAttributedInFlight(lender);
		return true;
	}

}
