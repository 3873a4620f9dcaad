package org.vanillatrestle.internal.limits;

import org.vanillatrestle.CustomerId;
import org.vanillatrestle.ServiceName;

/**
 * What VMs tell each other about shares of limits.
 * <p>
 * Immutable and thread safe. Messages may be lost, late, repeated and out of order.
 */
public sealed interface LimitMessage
		permits LimitMessage.LoanRequest, LimitMessage.LoanAnswer, LimitMessage.Hello, LimitMessage.HelloAnswer {

	/**
	 * Asks for a loan in place of the earlier one from the same lender.
	 *
	 * @param customer the customer
	 * @param service the service
	 * @param revision the contract's revision in force at the borrower
	 * @param incarnation the borrower's incarnation
	 * @param sequence grows with each request of the incarnation
	 * @param wanted what the borrower would like to hold
	 * @param kept what the borrower goes on using of earlier loans until it is answered
	 */
	record LoanRequest(CustomerId customer, ServiceName service, long revision, long incarnation, long sequence,
			LimitShare wanted, LimitShare kept) implements LimitMessage {

	}

	/**
	 * Answers a request.
	 *
	 * @param customer the customer
	 * @param service the service
	 * @param incarnation the borrower's incarnation from the request
	 * @param sequence the sequence from the request
	 * @param granted the loan, for the usual duration from when the request was sent
	 */
	record LoanAnswer(CustomerId customer, ServiceName service, long incarnation, long sequence,
			LimitShare granted) implements LimitMessage {

	}

	/**
	 * Says that a VM has started and does not know what it lent before.
	 *
	 * @param incarnation the VM's incarnation
	 */
	record Hello(long incarnation) implements LimitMessage {

	}

	/**
	 * Says that the sender uses no loan from the VM that has started.
	 *
	 * @param incarnation the incarnation from the hello
	 */
	record HelloAnswer(long incarnation) implements LimitMessage {

	}

}
