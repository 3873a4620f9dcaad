package org.vanillatrestle.bench.internal.state;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;

import org.vanillatrestle.wire.MalformedStateException;

/**
 * Measures time and memory of the contract book and the once ledger over several sizes
 * and prints the slopes. The sizes are run once before for warm-up.
 * <p>
 * Stateless. To be run alone in its JVM.
 */
public final class StateBench {

	private static final int[] CONTRACTS = { 200, 400, 800, 1600, 3200 };

	private static final int[] RECORDS = { 12_500, 25_000, 50_000, 100_000, 200_000 };

	private StateBench() {
	}

	/**
	 * Runs the measurement.
	 * @param args none
	 * @throws MalformedStateException if a message can't be read back
	 */
	public static void main(String[] args) throws MalformedStateException {
		PrintStream out = System.out;
		bookMeasurements();
		printBook(out, bookMeasurements());
		ledgerMeasurements();
		printLedger(out, ledgerMeasurements());
	}

	private static List<BookMeasurement> bookMeasurements() throws MalformedStateException {
		List<BookMeasurement> measurements = new ArrayList<>();
		for (int contracts : CONTRACTS) {
			measurements.add(BookMeasurement.run(contracts));
		}
		return measurements;
	}

	private static List<LedgerMeasurement> ledgerMeasurements() {
		List<LedgerMeasurement> measurements = new ArrayList<>();
		for (int records : RECORDS) {
			measurements.add(LedgerMeasurement.run(records));
		}
		return measurements;
	}

	private static void printBook(PrintStream out, List<BookMeasurement> measurements) {
		out.println("contracts  apply us  book KB  follower KB  snapshot KB  restore ms  pull ms  lookup ns");
		for (BookMeasurement row : measurements) {
			out.printf("%9d %9.1f %8d %12d %12d %11.1f %8.1f %10.0f%n", row.contracts(), row.applyMicros(),
					row.bookBytes() / 1024, row.followerBytes() / 1024, row.snapshotBytes() / 1024, row.restoreMillis(),
					row.pullMillis(), row.lookupNanos());
		}
		out.println("book bytes:     " + slope(measurements, BookMeasurement::contracts, BookMeasurement::bookBytes));
		out.println(
				"follower bytes: " + slope(measurements, BookMeasurement::contracts, BookMeasurement::followerBytes));
		out.println(
				"snapshot bytes: " + slope(measurements, BookMeasurement::contracts, BookMeasurement::snapshotBytes));
	}

	private static void printLedger(PrintStream out, List<LedgerMeasurement> measurements) {
		out.println("  records  claim us  answer us  heap KB  snapshot KB  snapshot ms  restore ms");
		for (LedgerMeasurement row : measurements) {
			out.printf("%9d %9.1f %10.1f %8d %12d %12.1f %11.1f%n", row.records(), row.claimMicros(),
					row.answerMicros(), row.heapBytes() / 1024, row.snapshotBytes() / 1024, row.snapshotMillis(),
					row.restoreMillis());
		}
		out.println("heap bytes:     " + slope(measurements, LedgerMeasurement::records, LedgerMeasurement::heapBytes));
		out.println(
				"snapshot bytes: " + slope(measurements, LedgerMeasurement::records, LedgerMeasurement::snapshotBytes));
	}

	private static <T> Slope slope(List<T> rows, ToDoubleFunction<T> unit, ToDoubleFunction<T> value) {
		return Slope.of(rows.stream().mapToDouble(unit).toArray(), rows.stream().mapToDouble(value).toArray());
	}

}
