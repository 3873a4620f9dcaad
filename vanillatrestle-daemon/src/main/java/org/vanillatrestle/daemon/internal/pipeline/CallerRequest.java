package org.vanillatrestle.daemon.internal.pipeline;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A caller's request with its complete body.
 * <p>
 * Must not be modified after it was received. Used on the VM's event loop.
 *
 * @param method the HTTP method in upper case
 * @param path the path without the query
 * @param query the query without the question mark; empty if there is none
 * @param headers the headers
 * @param body the body; empty if there is none
 */
public record CallerRequest(String method, String path, String query, HttpHeaders headers, byte[] body) {

	/**
	 * Returns the value of a header.
	 * @param name the header's name
	 * @return the value, or {@code null} if the request doesn't have the header
	 */
	public String header(CharSequence name) {
		return this.headers.get(name);
	}

}
