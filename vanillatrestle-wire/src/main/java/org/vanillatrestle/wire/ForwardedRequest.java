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
 * A caller's request that an entry VM sends to another VM. The receiver gets it as
 * {@link ReceivedRequest}, which can't be made into this type again: a request crosses
 * between VMs at most once.
 * <p>
 * Immutable and thread safe.
 *
 * @param requestId the request
 * @param attempt the number of the attempt, from 1
 * @param appliedIndex the sender's applied index of the contract book
 * @param customer the customer
 * @param caller the caller
 * @param service the service
 * @param model the model, empty for a plain service
 * @param method the HTTP method
 * @param path the path with its query
 * @param headers the headers to hand to the target
 * @param repeat whether the call may be repeated
 * @param deadlineRemainingMillis the time left; the stream is cancelled after it
 * @param priority the priority of the contract's service
 * @param once the claim for a call that may run at most once, if any
 */
public record ForwardedRequest(RequestId requestId, int attempt, long appliedIndex, CustomerId customer,
		CallerName caller, ServiceName service, Optional<ModelName> model, String method, String path,
		List<Header> headers, Repeat repeat, int deadlineRemainingMillis, int priority, Optional<OnceInfo> once) {

	public ForwardedRequest {
		headers = List.copyOf(headers);
		if (attempt < 1 || deadlineRemainingMillis < 0) {
			throw new IllegalArgumentException("A forwarded request has an attempt from 1 and a deadline from 0 ms,"
					+ " not attempt " + attempt + " and " + deadlineRemainingMillis + " ms.");
		}
	}

}
