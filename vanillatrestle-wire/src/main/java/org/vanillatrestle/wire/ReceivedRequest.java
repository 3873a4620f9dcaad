package org.vanillatrestle.wire;

import java.util.List;
import java.util.Optional;

import org.vanillatrestle.CallerName;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.ModelName;
import org.vanillatrestle.Repeat;
import org.vanillatrestle.RequestId;
import org.vanillatrestle.ServiceName;

/**
 * A request as the VM got it from its entry VM. It has the same content as
 * {@link ForwardedRequest} but is no such request: it can't be forwarded.
 * <p>
 * Immutable and thread safe.
 */
public final class ReceivedRequest {

	private final ForwardedRequest request;

	/**
	 * Creates the receiver's form of a request.
	 * @param request what the peer sent
	 */
	public ReceivedRequest(ForwardedRequest request) {
		this.request = request;
	}

	/**
	 * Returns the request's id.
	 * @return the request
	 */
	public RequestId requestId() {
		return this.request.requestId();
	}

	/**
	 * Returns the number of the attempt.
	 * @return the attempt, from 1
	 */
	public int attempt() {
		return this.request.attempt();
	}

	/**
	 * Returns the sender's applied index of the contract book.
	 * @return the index
	 */
	public long appliedIndex() {
		return this.request.appliedIndex();
	}

	/**
	 * Returns the customer.
	 * @return the customer
	 */
	public CustomerId customer() {
		return this.request.customer();
	}

	/**
	 * Returns the caller.
	 * @return the caller
	 */
	public CallerName caller() {
		return this.request.caller();
	}

	/**
	 * Returns the service.
	 * @return the service
	 */
	public ServiceName service() {
		return this.request.service();
	}

	/**
	 * Returns the model.
	 * @return the model, empty for a plain service
	 */
	public Optional<ModelName> model() {
		return this.request.model();
	}

	/**
	 * Returns the HTTP method.
	 * @return the method
	 */
	public String method() {
		return this.request.method();
	}

	/**
	 * Returns the path with its query.
	 * @return the path
	 */
	public String path() {
		return this.request.path();
	}

	/**
	 * Returns the headers to hand to the target.
	 * @return the headers
	 */
	public List<Header> headers() {
		return this.request.headers();
	}

	/**
	 * Tells whether the call may be repeated.
	 * @return what the contract says
	 */
	public Repeat repeat() {
		return this.request.repeat();
	}

	/**
	 * Returns the time that was left when the request was sent.
	 * @return the time in milliseconds
	 */
	public int deadlineRemainingMillis() {
		return this.request.deadlineRemainingMillis();
	}

	/**
	 * Returns the priority of the contract's service.
	 * @return the priority
	 */
	public int priority() {
		return this.request.priority();
	}

	/**
	 * Returns the claim for a call that may run at most once.
	 * @return the claim, if any
	 */
	public Optional<OnceInfo> once() {
		return this.request.once();
	}

}
