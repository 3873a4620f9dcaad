package org.vanillatrestle.internal.limits;

import java.util.ArrayList;
import java.util.List;

import org.vanillatrestle.CustomerId;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.VmId;

/**
 * One VM's part of one service's limits: its own share, less what it lent, plus what it
 * borrowed.
 * <p>
 * Over all VMs, what is usable never exceeds the limit of the contract. Not thread safe:
 * owned by the VM's event loop.
 */
final class ServiceLimits {

	private static final int DEMAND_MARGIN_PERCENT = 105;

	private static final int SPARE_PERCENT = 2;

	private static final double DEMAND_WEIGHT = 0.5;

	private final CustomerId customer;

	private final ServiceName service;

	private final LimitSettings settings;

	private final LentBook lent;

	private final BorrowedBook borrowed;

	private long revision;

	private LimitShare own = LimitShare.NONE;

	private LimitShare grown;

	private long grownNanos;

	private long deadlineNanos;

	private LimitShare demand = LimitShare.NONE;

	private LimitShare cached = LimitShare.NONE;

	private long cachedUntilNanos = Long.MIN_VALUE;

	ServiceLimits(CustomerId customer, ServiceName service, LimitSettings settings) {
		this.customer = customer;
		this.service = service;
		this.settings = settings;
		this.lent = new LentBook(settings);
		this.borrowed = new BorrowedBook(settings);
	}

	/**
	 * Puts a contract's revision in force; a share that grows does so only when loans of
	 * the former division have ended.
	 * @param newRevision the revision
	 * @param newOwn the own share
	 * @param newDeadlineNanos the longest that a request may be in flight
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void contract(long newRevision, LimitShare newOwn, long newDeadlineNanos, long nowNanos) {
		boolean first = this.revision == 0;
		this.revision = newRevision;
		this.deadlineNanos = Math.max(this.deadlineNanos, newDeadlineNanos);
		this.borrowed.deadline(this.deadlineNanos);
		this.own = first ? newOwn : this.own.min(newOwn);
		this.grown = newOwn;
		this.grownNanos = nowNanos + this.settings.guardNanos();
		this.cachedUntilNanos = Long.MIN_VALUE;
	}

	/**
	 * Returns what this VM may use now.
	 * @param guarded whether earlier loans may be unknown, since the VM has just started
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the share
	 */
	LimitShare usable(boolean guarded, long nowNanos) {
		if (nowNanos < this.cachedUntilNanos) {
			return this.cached;
		}
		this.cached = ownUsable(null, guarded, nowNanos).plus(this.borrowed.borrowed(nowNanos));
		this.cachedUntilNanos = Math.min(this.borrowed.firstExpiryNanos(nowNanos), nowNanos + 100_000_000);
		return this.cached;
	}

	void changed() {
		this.cachedUntilNanos = Long.MIN_VALUE;
	}

	private LimitShare ownUsable(VmId excepted, boolean guarded, long nowNanos) {
		if (nowNanos >= this.grownNanos) {
			this.own = this.grown;
		}
		if (guarded) {
			return this.own.minus(this.own.percent(this.settings.maxLentPercent()));
		}
		return this.own.minus(this.lent.lent(excepted, nowNanos));
	}

	void demand(LimitShare measured) {
		this.demand = new LimitShare(blend(this.demand.milliRequestsPerSecond(), measured.milliRequestsPerSecond()),
				blend(this.demand.tokensPerSecond(), measured.tokensPerSecond()),
				Math.max(measured.inFlight(), this.demand.inFlight() * 3 / 4));
	}

	private static long blend(long former, long measured) {
		return Math.max(measured, (long) (former + DEMAND_WEIGHT * (measured - former)));
	}

	private LimitShare needed() {
		return this.demand.percent(DEMAND_MARGIN_PERCENT).plus(this.own.percent(SPARE_PERCENT));
	}

	/**
	 * Prepares the requests for loans.
	 * @param guarded whether the VM has just started
	 * @param inFlight requests in flight
	 * @param others the VMs that may lend, in the order to ask
	 * @param incarnation this VM's incarnation
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the requests
	 */
	List<AddressedLimitMessage> tick(boolean guarded, long inFlight, List<VmId> others, long incarnation,
			long nowNanos) {
		changed();
		this.lent.prune(nowNanos);
		LimitShare ownUsable = ownUsable(null, guarded, nowNanos);
		LimitShare missing = needed().minus(ownUsable);
		List<VmId> lenders = this.borrowed.lenders(nowNanos);
		long excess = Math.max(0, inFlight - ownUsable.inFlight());
		List<AddressedLimitMessage> result = new ArrayList<>();
		for (VmId lender : lenders) {
			LimitShare kept = this.borrowed.from(lender, nowNanos).min(missing);
			LimitShare request = this.borrowed.ask(lender, kept, excess, nowNanos);
			excess = Math.max(0, excess - request.inFlight());
			missing = missing.minus(kept);
			result.add(request(lender, incarnation, kept.plus(missing), request));
		}
		int asked = 0;
		for (VmId other : others) {
			if (missing.isNone() || asked == this.settings.newLendersPerTick()) {
				break;
			}
			if (!lenders.contains(other)) {
				LimitShare request = this.borrowed.ask(other, LimitShare.NONE, 0, nowNanos);
				result.add(request(other, incarnation, missing, request));
				asked++;
			}
		}
		return result;
	}

	private AddressedLimitMessage request(VmId lender, long incarnation, LimitShare wanted, LimitShare kept) {
		return new AddressedLimitMessage(lender, new LimitMessage.LoanRequest(this.customer, this.service,
				this.revision, incarnation, this.borrowed.sequence(lender), wanted, kept));
	}

	/**
	 * Lends what this VM does not need itself.
	 * @param borrower who asks
	 * @param request the request
	 * @param guarded whether the VM has just started
	 * @param inFlight requests in flight
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the answer, or {@code null} if the request is old
	 */
	LimitMessage.LoanAnswer lend(VmId borrower, LimitMessage.LoanRequest request, boolean guarded, long inFlight,
			long nowNanos) {
		if (!this.lent.isCurrent(borrower, request, nowNanos)) {
			return null;
		}
		LimitShare granted = LimitShare.NONE;
		if (!guarded && request.revision() == this.revision) {
			granted = request.wanted().min(lendable(borrower, inFlight, nowNanos));
		}
		this.lent.lend(borrower, request, granted, this.deadlineNanos, nowNanos);
		changed();
		return new LimitMessage.LoanAnswer(this.customer, this.service, request.incarnation(), request.sequence(),
				granted);
	}

	private LimitShare lendable(VmId borrower, long inFlight, long nowNanos) {
		LimitShare lentToOthers = this.lent.lent(borrower, nowNanos);
		LimitShare used = needed().max(new LimitShare(0, 0, inFlight));
		LimitShare cap = this.own.percent(this.settings.maxLentPercent()).minus(lentToOthers);
		return ownUsable(borrower, false, nowNanos).minus(used).min(cap);
	}

	void answered(VmId lender, LimitMessage.LoanAnswer answer, long nowNanos) {
		this.borrowed.answered(lender, answer, nowNanos);
		changed();
	}

	/**
	 * Stops using a lender's loans.
	 * @param lender the lender
	 * @param inFlight requests in flight
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return whether no request in flight depends on them any more
	 */
	boolean drop(VmId lender, long inFlight, long nowNanos) {
		this.borrowed.drop(lender);
		changed();
		if (this.borrowed.heldInFlight(lender, nowNanos) > 0 && inFlight > usable(false, nowNanos).inFlight()) {
			return false;
		}
		this.borrowed.released(lender);
		return true;
	}

}
