package org.vanillatrestle.internal.once;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import org.vanillatrestle.CallerName;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.OnceKey;
import org.vanillatrestle.VmId;

/**
 * Creates ledger commands and their values for tests.
 */
final class LedgerCommands {

	private LedgerCommands() {
	}

	static OnceKey key(String key) {
		return new OnceKey(new CustomerId("himdugdha"), new CallerName("clerks"), key);
	}

	static AttemptId attempt(long number) {
		return new AttemptId(0, number);
	}

	static LedgerCommand.Claim claim(String key, long body, long attempt) {
		return new LedgerCommand.Claim(key(key), new RequestDigest(body, 0, 0, 0), attempt(attempt),
				new VmId("entry-1"), 1);
	}

	static LedgerCommand.Answer answer(String key, long attempt, String body) {
		return new LedgerCommand.Answer(key(key), attempt(attempt), Optional.of(storedAnswer(body)));
	}

	static LedgerCommand.Release release(String key, long attempt) {
		return new LedgerCommand.Release(key(key), attempt(attempt));
	}

	static LedgerCommand.Abandon abandon(String key, long attempt) {
		return new LedgerCommand.Abandon(key(key), attempt(attempt));
	}

	static StoredAnswer storedAnswer(String body) {
		return new StoredAnswer(200, List.of(new StoredAnswer.Header("content-type", "text/plain")),
				body.getBytes(StandardCharsets.UTF_8));
	}

}
