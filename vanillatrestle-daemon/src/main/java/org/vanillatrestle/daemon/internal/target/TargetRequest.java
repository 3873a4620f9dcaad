package org.vanillatrestle.daemon.internal.target;

import java.util.function.Predicate;

import io.netty.handler.codec.http.HttpHeaders;
import org.vanillatrestle.internal.target.TargetAddress;

/**
 * A request as sent to a target.
 * <p>
 * Not to be changed once handed on; used on the VM's event loop.
 *
 * @param address where the target accepts requests
 * @param method the HTTP method
 * @param path path and query
 * @param headers the headers, without those that speak of one connection only
 * @param body the body
 * @param freshConnection whether to use a new connection, so that a broken old one can't
 * leave open whether the request arrived
 * @param isOwnResponse tells by its headers whether an answer is one to this request;
 * others are skipped
 */
public record TargetRequest(TargetAddress address, String method, String path, HttpHeaders headers, byte[] body,
		boolean freshConnection, Predicate<HttpHeaders> isOwnResponse) {

	/**
	 * A request whose target sends no other answers.
	 * @param address where the target accepts requests
	 * @param method the HTTP method
	 * @param path path and query
	 * @param headers the headers, without those that speak of one connection only
	 * @param body the body
	 * @param freshConnection whether to use a new connection
	 */
	public TargetRequest(TargetAddress address, String method, String path, HttpHeaders headers, byte[] body,
			boolean freshConnection) {
		this(address, method, path, headers, body, freshConnection, (answer) -> true);
	}

}
