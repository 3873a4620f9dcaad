package org.vanillatrestle.wire;

import java.util.List;

import com.google.protobuf.ByteString;
import org.vanillatrestle.CallerName;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.OnceKey;
import org.vanillatrestle.internal.once.AttemptId;
import org.vanillatrestle.internal.once.RequestDigest;
import org.vanillatrestle.internal.once.StoredAnswer;
import org.vanillatrestle.wire.generated.state.AttemptIdMessage;
import org.vanillatrestle.wire.generated.state.HeaderMessage;
import org.vanillatrestle.wire.generated.state.OnceKeyMessage;
import org.vanillatrestle.wire.generated.state.StoredAnswerMessage;

/**
 * Writes and reads the values that several messages of the once ledger share.
 * <p>
 * Stateless and thread safe.
 */
final class LedgerValues {

	private LedgerValues() {
	}

	static OnceKeyMessage write(OnceKey key) {
		return OnceKeyMessage.newBuilder()
			.setCustomer(key.customer().value())
			.setCaller(key.caller().value())
			.setKey(key.key())
			.build();
	}

	static OnceKey read(OnceKeyMessage message) {
		return new OnceKey(new CustomerId(message.getCustomer()), new CallerName(message.getCaller()),
				message.getKey());
	}

	static AttemptIdMessage write(AttemptId attempt) {
		return AttemptIdMessage.newBuilder().setHigh(attempt.high()).setLow(attempt.low()).build();
	}

	static AttemptId read(AttemptIdMessage message) {
		return new AttemptId(message.getHigh(), message.getLow());
	}

	static ByteString write(RequestDigest digest) {
		return ByteString.copyFrom(digest.toBytes());
	}

	static StoredAnswerMessage write(StoredAnswer answer) {
		StoredAnswerMessage.Builder message = StoredAnswerMessage.newBuilder()
			.setStatus(answer.status())
			.setBody(ByteString.copyFrom(answer.body()));
		for (StoredAnswer.Header header : answer.headers()) {
			message.addHeaders(HeaderMessage.newBuilder().setName(header.name()).setValue(header.value()));
		}
		return message.build();
	}

	static StoredAnswer read(StoredAnswerMessage message) {
		List<StoredAnswer.Header> headers = message.getHeadersList()
			.stream()
			.map((header) -> new StoredAnswer.Header(header.getName(), header.getValue()))
			.toList();
		return new StoredAnswer(message.getStatus(), headers, message.getBody().toByteArray());
	}

}
