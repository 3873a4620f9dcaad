package org.vanillatrestle.daemon.internal.pipeline;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * The status and headers of an answer.
 * <p>
 * Must not be modified after it is passed on. Used on the VM's event loop.
 *
 * @param status the HTTP status
 * @param headers the headers without hop-by-hop headers
 * @param hasLength whether the length of the body was known before the body arrived
 */
public record AnswerHead(int status, HttpHeaders headers, boolean hasLength) {

	/**
	 * Creates the head of an answer whose body length is not known.
	 * @param status the HTTP status
	 * @param headers the headers without hop-by-hop headers
	 */
	public AnswerHead(int status, HttpHeaders headers) {
		this(status, headers, false);
	}

}
