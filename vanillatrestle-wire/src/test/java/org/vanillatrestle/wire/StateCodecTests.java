package org.vanillatrestle.wire;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.vanillatrestle.CallerName;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.OnceKey;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.book.AuditEvent;
import org.vanillatrestle.internal.book.BookCommand;
import org.vanillatrestle.internal.book.BookLimits;
import org.vanillatrestle.internal.book.BookOutcome;
import org.vanillatrestle.internal.book.ContractBook;
import org.vanillatrestle.internal.once.AttemptId;
import org.vanillatrestle.internal.once.KeyStatus;
import org.vanillatrestle.internal.once.LedgerCommand;
import org.vanillatrestle.internal.once.LedgerLimits;
import org.vanillatrestle.internal.once.LedgerOutcome;
import org.vanillatrestle.internal.once.OnceLedger;
import org.vanillatrestle.internal.once.RequestDigest;
import org.vanillatrestle.internal.once.StoredAnswer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the codecs of the contract book and the once ledger.
 */
class StateCodecTests {

	private static final CustomerId CUSTOMER = new CustomerId("himdugdha");

	private static final OnceKey KEY = new OnceKey(CUSTOMER, new CallerName("clerks"), "payout-1");

	private static final StoredAnswer ANSWER = new StoredAnswer(200,
			List.of(new StoredAnswer.Header("content-type", "text/plain")), new byte[] { 1, 2, 3 });

	private static final List<Decoder> DECODERS = List.of(BookCommandCodec::decodeCommand,
			BookCommandCodec::decodeOutcome, BookStateCodec::decodePage, BookStateCodec::decodePull,
			BookStateCodec::decodeSnapshot, LedgerCommandCodec::decodeCommand, LedgerCommandCodec::decodeOutcome,
			LedgerStateCodec::decodeSnapshot, LedgerStateCodec::decodeKey, LedgerStateCodec::decodeStatus);

	private static final List<byte[]> SAMPLES = samples();

	private static String document(long revision) {
		return """
				{ "customer": "himdugdha", "revision": %d, "objective": "COST", "allowedRegions": ["bagmati"],
				  "callers": [ { "name": "clerks", "home": "bagmati", "keySha256": "%s" } ],
				  "services": [ { "name": "sheets", "kind": "MODEL", "models": ["sheet-1"] } ] }
				""".formatted(revision, "0a".repeat(32));
	}

	private static List<BookCommand> bookCommands() {
		return List.of(new BookCommand.Apply("asha", CUSTOMER, document(1), 1000),
				new BookCommand.Apply("asha", CUSTOMER, document(1), 1000),
				new BookCommand.Apply("bina", CUSTOMER, document(4), 1000),
				new BookCommand.Apply("bina", CUSTOMER, "{", 1000),
				new BookCommand.RecordVmEvent(new VmId("entry-1"), new VmId("entry-2"), new RegionId("koshi"),
						AuditEvent.VM_SUSPECTED, 1000),
				new BookCommand.Remove("asha", CUSTOMER, 2, 1000),
				new BookCommand.Apply("asha", CUSTOMER, document(3), 1000));
	}

	private static List<LedgerCommand> ledgerCommands() {
		AttemptId first = new AttemptId(1, -1);
		AttemptId second = new AttemptId(Long.MIN_VALUE, 2);
		return List.of(new LedgerCommand.Tick(1), new LedgerCommand.Open(7, true), new LedgerCommand.Tick(5000),
				claim("released", first, 1), new LedgerCommand.Release(key("released"), first),
				claim("released", first, 1), claim("answered", first, 1),
				new LedgerCommand.Answer(key("answered"), first, Optional.of(ANSWER)), claim("answered", second, 1),
				claim("large", first, 1), new LedgerCommand.Answer(key("large"), first, Optional.empty()),
				claim("large", second, 1), claim("running", first, 1), claim("running", second, 1),
				claim("running", second, 2), new LedgerCommand.Abandon(key("running"), first),
				claim("running", second, 1), claim("ended", first, 1),
				new LedgerCommand.AbandonHolder(new VmId("entry-1"), 2), claim("late", first, 1),
				claim("bagmati-1.3.old", first, 1), new LedgerCommand.Retire(3),
				new LedgerCommand.DropAnswers(CUSTOMER, new CallerName("clerks")),
				new LedgerCommand.Abandon(key("unknown"), first));
	}

	private static LedgerCommand claim(String key, AttemptId attempt, long body) {
		return new LedgerCommand.Claim(key(key), new RequestDigest(body, -2, 3, Long.MAX_VALUE), attempt,
				new VmId("entry-1"), 1);
	}

	private static OnceKey key(String key) {
		return new OnceKey(CUSTOMER, new CallerName("clerks"), key);
	}

	private static ContractBook book() {
		return new ContractBook(BookLimits.DEFAULT);
	}

	private static OnceLedger ledger() {
		return new OnceLedger(new DataCentreId("bagmati-1"), new LedgerLimits(100, 100, 1000, 1000, 100_000), (key) -> {
		});
	}

	@Test
	void shouldReadBackBookCommandsOutcomesAndSnapshots() throws MalformedStateException {
		ContractBook book = book();
		long index = 0;
		for (BookCommand command : bookCommands()) {
			assertThat(BookCommandCodec.decodeCommand(BookCommandCodec.encode(command))).isEqualTo(command);
			BookOutcome outcome = book.apply(++index, command);
			assertThat(BookCommandCodec.decodeOutcome(BookCommandCodec.encode(outcome))).isEqualTo(outcome);
			assertThat(BookStateCodec.decodeSnapshot(BookStateCodec.encode(book.snapshot())))
				.isEqualTo(book.snapshot());
			assertThat(BookStateCodec.decodePage(BookStateCodec.encode(book.entriesAfter(0, 100))))
				.isEqualTo(book.entriesAfter(0, 100));
		}
	}

	@Test
	void shouldReadBackLedgerCommandsOutcomesAndSnapshots() throws MalformedStateException {
		OnceLedger ledger = ledger();
		List<Class<?>> seen = new ArrayList<>();
		long index = 0;
		for (LedgerCommand command : ledgerCommands()) {
			assertThat(LedgerCommandCodec.decodeCommand(LedgerCommandCodec.encode(command))).isEqualTo(command);
			LedgerOutcome outcome = ledger.apply(++index, command);
			seen.add(outcome.getClass());
			assertThat(LedgerCommandCodec.decodeOutcome(LedgerCommandCodec.encode(outcome))).isEqualTo(outcome);
			assertThat(LedgerStateCodec.decodeSnapshot(LedgerStateCodec.encode(ledger.snapshot())))
				.isEqualTo(ledger.snapshot());
		}
		assertThat(seen).contains(LedgerOutcome.class.getPermittedSubclasses());
	}

	@Test
	void shouldReadBackWhatIsKnownOfAKey() throws MalformedStateException {
		assertThat(LedgerStateCodec.decodeKey(LedgerStateCodec.encode(KEY))).isEqualTo(KEY);
		for (KeyStatus.Knowledge knowledge : KeyStatus.Knowledge.values()) {
			KeyStatus status = new KeyStatus(knowledge, Optional.of(ANSWER));
			assertThat(LedgerStateCodec.decodeStatus(LedgerStateCodec.encode(status))).isEqualTo(status);
		}
	}

	@Property(seed = "4715", tries = 3000, shrinking = ShrinkingMode.OFF)
	void shouldMeetDamagedBytesWithTypedErrorsOnly(@ForAll long seed) {
		Random random = new Random(seed);
		byte[] bytes = damage(SAMPLES.get(random.nextInt(SAMPLES.size())), random);
		for (Decoder decoder : DECODERS) {
			try {
				assertThat(decoder.decode(bytes)).isNotNull();
			}
			catch (MalformedStateException ex) {
				assertThat(ex).hasMessageContaining("can't be read");
			}
		}
	}

	private static List<byte[]> samples() {
		List<byte[]> samples = new ArrayList<>();
		ContractBook book = book();
		bookCommands().forEach((command) -> {
			samples.add(BookCommandCodec.encode(command));
			samples.add(BookCommandCodec.encode(book.apply(book.appliedIndex() + 1, command)));
		});
		samples.add(BookStateCodec.encode(book.snapshot()));
		samples.add(BookStateCodec.encode(book.entriesAfter(0, 1000)));
		OnceLedger ledger = ledger();
		ledgerCommands().forEach((command) -> {
			samples.add(LedgerCommandCodec.encode(command));
			samples.add(LedgerCommandCodec.encode(ledger.apply(ledger.appliedIndex() + 1, command)));
		});
		samples.add(LedgerStateCodec.encode(ledger.snapshot()));
		return samples;
	}

	private static byte[] damage(byte[] bytes, Random random) {
		if (bytes.length == 0 || random.nextInt(5) == 0) {
			byte[] noise = new byte[random.nextInt(60)];
			random.nextBytes(noise);
			return noise;
		}
		byte[] damaged = Arrays.copyOf(bytes, bytes.length - random.nextInt(Math.min(3, bytes.length)));
		for (int i = 0; i < 1 + random.nextInt(3) && damaged.length > 0; i++) {
			damaged[random.nextInt(damaged.length)] = (byte) random.nextInt(256);
		}
		return damaged;
	}

	/**
	 * Reads bytes as one kind of value.
	 */
	@FunctionalInterface
	private interface Decoder {

		Object decode(byte[] bytes) throws MalformedStateException;

	}

}
