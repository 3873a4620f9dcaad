package org.vanillatrestle.internal.once;

import java.util.HashMap;
import java.util.Map;

import org.vanillatrestle.CallerName;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.OnceKey;
import org.vanillatrestle.VmId;

/**
 * Interns values that occur in many records, so that equal values share one object, which
 * saves memory.
 * <p>
 * Not thread safe. Holds at most {@link #MAX_VALUES} values. When it is full, it is
 * cleared at the next use.
 */
final class ValueInterner {

	private static final int MAX_VALUES = 20_000;

	private final Map<Object, Object> values = new HashMap<>();

	private OnceKey intern(OnceKey key) {
		return new OnceKey(intern(key.customer(), CustomerId.class), intern(key.caller(), CallerName.class), key.key());
	}

	OnceRecord intern(OnceRecord record) {
		return new OnceRecord(intern(record.key()), record.state(), record.claim().map(this::intern),
				record.answer().map(this::intern), record.released(), record.changedAtMillis());
	}

	private OnceRecord.GrantedClaim intern(OnceRecord.GrantedClaim grantedClaim) {
		return new OnceRecord.GrantedClaim(grantedClaim.attempt(), grantedClaim.digest(),
				intern(grantedClaim.holder(), VmId.class), grantedClaim.holderIncarnation());
	}

	private StoredAnswer intern(StoredAnswer answer) {
		return new StoredAnswer(answer.status(),
				answer.headers().stream().map((header) -> intern(header, StoredAnswer.Header.class)).toList(),
				answer.body());
	}

	private <T> T intern(T value, Class<T> type) {
		if (this.values.size() >= MAX_VALUES) {
			this.values.clear();
		}
		Object interned = this.values.putIfAbsent(value, value);
		return (interned != null) ? type.cast(interned) : value;
	}

}
