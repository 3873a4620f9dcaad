package org.vanillatrestle.daemon.internal.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.vanillatrestle.daemon.internal.pipeline.HeaderNames;
import org.vanillatrestle.wire.Header;

/**
 * Converts headers between their HTTP form and the form used on peer links.
 * <p>
 * Stateless and thread safe.
 */
final class ForwardHeaders {

	private ForwardHeaders() {
	}

	/**
	 * Returns whether VMs set a header themselves when they forward a request.
	 * @param name the header's name
	 * @return whether to omit the caller's value
	 */
	static boolean isSetByVm(String name) {
		return HttpHeaderNames.AUTHORIZATION.contentEqualsIgnoreCase(name)
				|| HeaderNames.RESUME_OFFSET.contentEqualsIgnoreCase(name)
				|| HeaderNames.DEADLINE_MILLIS.contentEqualsIgnoreCase(name);
	}

	static List<Header> toWire(HttpHeaders headers) {
		List<Header> result = new ArrayList<>();
		for (Map.Entry<String, String> header : headers) {
			result.add(new Header(header.getKey(), header.getValue()));
		}
		return result;
	}

	static HttpHeaders toHttp(List<Header> headers) {
		HttpHeaders result = new DefaultHttpHeaders();
		headers.forEach((header) -> result.add(header.name(), header.value()));
		return result;
	}

}
