package org.vanillatrestle.daemon.internal.target;

import java.util.List;
import java.util.Map;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Removes headers that apply to a single connection only (RFC 9110, section 7.6.1).
 * <p>
 * Stateless and thread safe.
 */
public final class HopByHopHeaders {

	private static final List<CharSequence> EXCLUDED_NAMES = List.of(HttpHeaderNames.CONNECTION, "Keep-Alive",
			HttpHeaderNames.PROXY_AUTHENTICATE, HttpHeaderNames.PROXY_AUTHORIZATION, HttpHeaderNames.TE,
			HttpHeaderNames.TRAILER, HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderNames.UPGRADE,
			HttpHeaderNames.CONTENT_LENGTH, HttpHeaderNames.EXPECT, HttpHeaderNames.HOST, "Proxy-Connection");

	private HopByHopHeaders() {
	}

	/**
	 * Copies the headers that may be forwarded.
	 * @param headers the headers of a message
	 * @return a copy without hop-by-hop headers, {@code Content-Length}, {@code Expect}
	 * and {@code Host}
	 */
	public static HttpHeaders copyWithout(HttpHeaders headers) {
		HttpHeaders copy = new DefaultHttpHeaders();
		for (Map.Entry<String, String> header : headers) {
			copy.add(header.getKey(), header.getValue());
		}
		for (String names : headers.getAll(HttpHeaderNames.CONNECTION)) {
			for (String name : names.split(",")) {
				if (!name.isBlank()) {
					copy.remove(name.trim());
				}
			}
		}
		EXCLUDED_NAMES.forEach(copy::remove);
		return copy;
	}

}
