package org.vanillatrestle.bench.internal.state;

import java.util.List;
import java.util.Optional;

import org.vanillatrestle.CallerName;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.OnceKey;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.once.AttemptId;
import org.vanillatrestle.internal.once.LedgerCommand;
import org.vanillatrestle.internal.once.LedgerLimits;
import org.vanillatrestle.internal.once.OnceLedger;
import org.vanillatrestle.internal.once.RequestDigest;
import org.vanillatrestle.internal.once.StoredAnswer;
import org.vanillatrestle.wire.LedgerCommandCodec;
import org.vanillatrestle.wire.LedgerStateMachine;

/**
 * Measures one once ledger of a given size.
 * <p>
 * Immutable and thread safe.
 *
 * @param records how many records, each answered with 200 bytes
 * @param claimMicros the time to apply one claim, coding included, in microseconds
 * @param answerMicros the time to apply one answer, coding included, in microseconds
 * @param heapBytes the heap of the ledger
 * @param snapshotBytes the size of the snapshot
 * @param snapshotMillis the time to write the snapshot, in milliseconds
 * @param restoreMillis the time to restore from the snapshot, in milliseconds
 */
record LedgerMeasurement(int records, double claimMicros, double answerMicros, long heapBytes, int snapshotBytes,
		double snapshotMillis, double restoreMillis) {

	private static final int ANSWER_BYTES = 200;

	private static final LedgerLimits LIMITS = new LedgerLimits(1_000_000, 64 * 1024, 1L << 30, 86_400_000, 3_600_000);

	static LedgerMeasurement run(int records) {
		long beforeBytes = Heap.usedBytes();
		LedgerStateMachine machine = ledger();
		machine.apply(1, LedgerCommandCodec.encode(new LedgerCommand.Open(1, false)));
		double claimMicros = applyAll(machine, records, 2, LedgerMeasurement::claim);
		double answerMicros = applyAll(machine, records, 2 + records, LedgerMeasurement::answer);
		long heapBytes = Heap.usedBytes() - beforeBytes;
		long startNanos = System.nanoTime();
		byte[] snapshot = machine.snapshot();
		double snapshotMillis = (System.nanoTime() - startNanos) / 1e6;
		startNanos = System.nanoTime();
		LedgerStateMachine restored = ledger();
		restored.restore(2L + 2L * records, snapshot);
		double restoreMillis = (System.nanoTime() - startNanos) / 1e6;
		if (restored.ledger().size() != records) {
			throw new IllegalStateException("Some records were lost.");
		}
		return new LedgerMeasurement(records, claimMicros, answerMicros, heapBytes, snapshot.length, snapshotMillis,
				restoreMillis);
	}

	private static LedgerStateMachine ledger() {
		return new LedgerStateMachine(new OnceLedger(new DataCentreId("bagmati-1"), LIMITS, (key) -> {
		}));
	}

	private static double applyAll(LedgerStateMachine machine, int records, long firstIndex, Commands commands) {
		long startNanos = System.nanoTime();
		for (int i = 0; i < records; i++) {
			machine.apply(firstIndex + i, LedgerCommandCodec.encode(commands.get(i)));
		}
		return (System.nanoTime() - startNanos) / 1e3 / records;
	}

	private static OnceKey key(int number) {
		return new OnceKey(new CustomerId("himdugdha"), new CallerName("clerks-bagmati"),
				"bagmati-1.1.payout-2026-11-kavre-" + number);
	}

	private static LedgerCommand claim(int number) {
		return new LedgerCommand.Claim(key(number), new RequestDigest(number, 2, 3, 4), new AttemptId(number, 5),
				new VmId("entry-1"), 1);
	}

	private static LedgerCommand answer(int number) {
		return new LedgerCommand.Answer(key(number), new AttemptId(number, 5), Optional.of(new StoredAnswer(200,
				List.of(new StoredAnswer.Header("content-type", "application/json")), new byte[ANSWER_BYTES])));
	}

	/**
	 * Makes the command of a number.
	 */
	@FunctionalInterface
	private interface Commands {

		LedgerCommand get(int number);

	}

}
