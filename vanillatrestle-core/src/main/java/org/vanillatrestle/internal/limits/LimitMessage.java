package org.vanillatrestle.internal.limits;

import org.vanillatrestle.CustomerId;
import org.vanillatrestle.ServiceName;

/**
 * A message between VMs about loans of limit shares.
 * <p>
 * Messages may be lost, delayed, duplicated and reordered. Immutable and thread safe.
 */
public sealed interface LimitMessage
		permits LimitMessage.LoanRequest, LimitMessage.LoanAnswer, LimitMessage.Hello, LimitMessage.HelloAnswer {

	/**
	 * Requests a loan, which replaces the previous loan from the same lender.
	 *
	 * @param customer the customer
	 * @param service the service
	 * @param revision the revision of the contract that is in force at the borrower
	 * @param incarnation the borrower's incarnation, which grows with each start
	 * @param sequence a number that grows with each request of the incarnation
	 * @param wanted the loan that the borrower wants, in total
	 * @param kept the part of earlier loans from this lender that the borrower uses until
	 * it receives the answer
	 */
	record LoanRequest(CustomerId customer, ServiceName service, long revision, long incarnation, long sequence,
			LimitShare wanted, LimitShare kept) implements LimitMessage {

	}

	/**
	 * Answers a request for a loan.
	 *
	 * @param customer the customer
	 * @param service the service
	 * @param incarnation the borrower's incarnation, copied from the request
	 * @param sequence the sequence number, copied from the request
	 * @param granted the loan, which lasts for the configured duration from the time at
	 * which the request was sent
	 */
	record LoanAnswer(CustomerId customer, ServiceName service, long incarnation, long sequence,
			LimitShare granted) implements LimitMessage {

	}

	/**
	 * Announces that a VM has started and does not know which loans it granted before.
	 *
	 * @param incarnation the incarnation of the VM that has started
	 */
	record Hello(long incarnation) implements LimitMessage {

	}

	/**
	 * Confirms that the sender uses no loan from the VM that has started.
	 *
	 * @param incarnation the incarnation, copied from the {@link Hello}
	 */
	record HelloAnswer(long incarnation) implements LimitMessage {

	}

}
