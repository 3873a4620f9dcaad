package org.vanillatrestle.daemon.internal.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.vanillatrestle.daemon.internal.pipeline.AnswerHead;
import org.vanillatrestle.daemon.internal.pipeline.HeaderNames;
import org.vanillatrestle.internal.once.StoredAnswer;

/**
 * Converts answers between their HTTP representation and the ledger's stored form.
 * <p>
 * Stateless and thread safe.
 */
public final class StoredAnswers {

	private StoredAnswers() {
	}

	static StoredAnswer of(AnswerHead head, byte[] body) {
		List<StoredAnswer.Header> headers = new ArrayList<>();
		for (Map.Entry<String, String> header : head.headers()) {
			headers.add(new StoredAnswer.Header(header.getKey(), header.getValue()));
		}
		return new StoredAnswer(head.status(), headers, body);
	}

	/**
	 * Returns the status and headers of a stored answer, with an additional header that
	 * marks it as replayed.
	 * @param answer the stored answer
	 * @return the status and headers
	 */
	public static AnswerHead toHead(StoredAnswer answer) {
		HttpHeaders headers = new DefaultHttpHeaders();
		answer.headers().forEach((header) -> headers.add(header.name(), header.value()));
		headers.set(HeaderNames.REPLAYED, "true");
		return new AnswerHead(answer.status(), headers);
	}

}
