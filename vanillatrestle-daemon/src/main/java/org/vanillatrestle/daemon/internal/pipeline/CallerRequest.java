package org.vanillatrestle.daemon.internal.pipeline;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A caller's request with its whole body.
 * <p>
 * Not to be changed after it was received; used on the VM's event loop.
 *
 * @param method the HTTP method in upper case
 * @param path the path, without a query
 * @param query the query without its question mark, empty if there is none
 * @param headers the headers
 * @param body the body, empty if there is none
 */
public record CallerRequest(String method, String path, String query, HttpHeaders headers, byte[] body) {

	/**
	 * Returns a header.
	 * @param name the header's name
	 * @return its value, or {@code null}
	 */
	public String header(CharSequence name) {
		return this.headers.get(name);
	}

}
