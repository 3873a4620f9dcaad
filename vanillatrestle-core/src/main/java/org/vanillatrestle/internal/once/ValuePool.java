package org.vanillatrestle.internal.once;

import java.util.HashMap;
import java.util.Map;

import org.vanillatrestle.CallerName;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.OnceKey;
import org.vanillatrestle.VmId;

/**
 * Lets equal parts of many records share one object, which saves memory.
 * <p>
 * Not thread safe. Never more values than the bound; beyond it the pool starts anew.
 */
final class ValuePool {

	private static final int MAX_VALUES = 20_000;

	private final Map<Object, Object> values = new HashMap<>();

	private OnceKey shared(OnceKey key) {
		return new OnceKey(shared(key.customer(), CustomerId.class), shared(key.caller(), CallerName.class), key.key());
	}

	OnceRecord shared(OnceRecord record) {
		return new OnceRecord(shared(record.key()), record.state(), record.claim().map(this::shared),
				record.answer().map(this::shared), record.released(), record.changedAtMillis());
	}

	private OnceRecord.Holding shared(OnceRecord.Holding holding) {
		return new OnceRecord.Holding(holding.attempt(), holding.digest(), shared(holding.holder(), VmId.class),
				holding.holderIncarnation());
	}

	private StoredAnswer shared(StoredAnswer answer) {
		return new StoredAnswer(answer.status(),
				answer.headers().stream().map((header) -> shared(header, StoredAnswer.Header.class)).toList(),
				answer.body());
	}

	private <T> T shared(T value, Class<T> type) {
		if (this.values.size() >= MAX_VALUES) {
			this.values.clear();
		}
		Object previous = this.values.putIfAbsent(value, value);
		return (previous != null) ? type.cast(previous) : value;
	}

}
