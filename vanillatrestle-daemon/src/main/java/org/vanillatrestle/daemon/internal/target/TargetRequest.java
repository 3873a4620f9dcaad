package org.vanillatrestle.daemon.internal.target;

import java.util.function.Predicate;

import io.netty.handler.codec.http.HttpHeaders;
import org.vanillatrestle.internal.target.TargetAddress;

/**
 * A request to be sent to a target.
 * <p>
 * The headers and the body must not be modified once the request is sent. Used only on
 * the VM's event loop.
 *
 * @param address the address at which the target accepts requests
 * @param method the HTTP method
 * @param path the path and query
 * @param headers the headers, without those that apply to a single connection only
 * @param body the body
 * @param freshConnection whether to use a new connection, because if a reused one fails
 * it may remain unknown whether the request arrived
 * @param isOwnResponse tells from the headers of a response whether it belongs to this
 * request; other responses are skipped
 */
public record TargetRequest(TargetAddress address, String method, String path, HttpHeaders headers, byte[] body,
		boolean freshConnection, Predicate<HttpHeaders> isOwnResponse) {

	/**
	 * Creates a request that accepts any response on its connection, for targets that
	 * never send responses to other requests.
	 * @param address the address at which the target accepts requests
	 * @param method the HTTP method
	 * @param path the path and query
	 * @param headers the headers, without those that apply to a single connection only
	 * @param body the body
	 * @param freshConnection whether to use a new connection
	 */
	public TargetRequest(TargetAddress address, String method, String path, HttpHeaders headers, byte[] body,
			boolean freshConnection) {
		this(address, method, path, headers, body, freshConnection, (response) -> true);
	}

}
