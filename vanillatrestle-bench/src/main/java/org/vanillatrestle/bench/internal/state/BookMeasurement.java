package org.vanillatrestle.bench.internal.state;

import java.util.ArrayList;
import java.util.List;

import org.vanillatrestle.Caller;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.internal.book.BookCommand;
import org.vanillatrestle.internal.book.BookFollower;
import org.vanillatrestle.internal.book.BookLimits;
import org.vanillatrestle.internal.book.ContractBook;
import org.vanillatrestle.wire.BookCommandCodec;
import org.vanillatrestle.wire.BookStateCodec;
import org.vanillatrestle.wire.BookStateMachine;
import org.vanillatrestle.wire.MalformedStateException;

/**
 * Measures one contract book of a given size.
 * <p>
 * Immutable and thread safe.
 *
 * @param contracts how many contracts
 * @param applyMicros the time to apply one command, decoding included, in microseconds
 * @param bookBytes the heap of the book
 * @param followerBytes the heap of a follower's copy
 * @param snapshotBytes the size of the snapshot
 * @param restoreMillis the time to restore from the snapshot, in milliseconds
 * @param pullMillis the time to pull the whole book, in milliseconds
 * @param lookupNanos the time to look a key up, in nanoseconds
 */
record BookMeasurement(int contracts, double applyMicros, long bookBytes, long followerBytes, int snapshotBytes,
		double restoreMillis, double pullMillis, double lookupNanos) {

	private static final int LOOKUPS = 1_000_000;

	private static final int PAGE_BYTES = 256 * 1024;

	static BookMeasurement run(int contracts) throws MalformedStateException {
		List<byte[]> commands = commands(contracts);
		long beforeBytes = Heap.usedBytes();
		BookStateMachine machine = new BookStateMachine(new ContractBook(BookLimits.DEFAULT));
		long startNanos = System.nanoTime();
		for (int i = 0; i < contracts; i++) {
			machine.apply(i + 1, commands.get(i));
		}
		double applyMicros = (System.nanoTime() - startNanos) / 1e3 / contracts;
		long bookBytes = Heap.usedBytes() - beforeBytes;
		startNanos = System.nanoTime();
		BookFollower follower = pull(machine.book());
		double pullMillis = (System.nanoTime() - startNanos) / 1e6;
		long followerBytes = Heap.usedBytes() - beforeBytes - bookBytes;
		double lookupNanos = lookUp(follower);
		byte[] snapshot = machine.snapshot();
		startNanos = System.nanoTime();
		new BookStateMachine(new ContractBook(BookLimits.DEFAULT)).restore(contracts, snapshot);
		double restoreMillis = (System.nanoTime() - startNanos) / 1e6;
		return new BookMeasurement(contracts, applyMicros, bookBytes, followerBytes, snapshot.length, restoreMillis,
				pullMillis, lookupNanos);
	}

	private static List<byte[]> commands(int contracts) {
		List<byte[]> commands = new ArrayList<>(contracts);
		for (int i = 0; i < contracts; i++) {
			commands.add(BookCommandCodec
				.encode(new BookCommand.Apply("asha", new CustomerId("team-" + i), document(i), 1_000_000)));
		}
		return commands;
	}

	/**
	 * Writes a contract with two callers, three regions and three services.
	 * @param number the customer's number
	 * @return the document
	 */
	private static String document(int number) {
		return """
				{ "customer": "team-%1$d", "revision": 1, "objective": "TAIL_LATENCY",
				  "allowedRegions": ["bagmati", "koshi", "lumbini"],
				  "callers": [ { "name": "clerks", "home": "bagmati", "keySha256": "%2$064x" },
				               { "name": "app", "home": "koshi", "keySha256": "%3$064x" } ],
				  "services": [
				    { "name": "sheets", "kind": "MODEL", "models": ["sheet-1", "sheet-2"], "priority": 5,
				      "maxRequestsPerSecond": 40, "maxTokensPerSecond": 9000, "maxInFlight": 200 },
				    { "name": "drafts", "kind": "MODEL", "models": ["draft-1"], "priority": 3 },
				    { "name": "ledger", "kind": "PLAIN", "calls": [
				      { "method": "GET", "path": "/balances/*", "repeat": "IDEMPOTENT" },
				      { "method": "POST", "path": "/payouts", "repeat": "AT_MOST_ONCE" } ] } ] }
				""".formatted(number, 2L * number, 2L * number + 1);
	}

	private static BookFollower pull(ContractBook book) throws MalformedStateException {
		BookFollower follower = new BookFollower();
		while (follower.changeIndex() < book.changeIndex()) {
			byte[] page = BookStateCodec.encode(book.entriesAfter(follower.nextPullIndex(), PAGE_BYTES));
			follower.accept(BookStateCodec.decodePage(page));
		}
		return follower;
	}

	private static double lookUp(BookFollower follower) {
		List<String> keys = follower.view()
			.contracts()
			.stream()
			.flatMap((contract) -> contract.callers().stream())
			.map(Caller::keySha256)
			.toList();
		int found = 0;
		long startNanos = System.nanoTime();
		for (int i = 0; i < LOOKUPS; i++) {
			found += follower.view().lookup(keys.get(i % keys.size())).isPresent() ? 1 : 0;
		}
		double nanos = (double) (System.nanoTime() - startNanos) / LOOKUPS;
		if (found != LOOKUPS) {
			throw new IllegalStateException("Some keys were not found.");
		}
		return nanos;
	}

}
