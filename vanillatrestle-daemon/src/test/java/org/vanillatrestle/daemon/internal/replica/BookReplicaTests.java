package org.vanillatrestle.daemon.internal.replica;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.VmId;
import org.vanillatrestle.daemon.internal.storage.FolderFiles;
import org.vanillatrestle.daemon.internal.storage.LogStorage;
import org.vanillatrestle.daemon.internal.storage.OpenMode;
import org.vanillatrestle.internal.book.BookCommand;
import org.vanillatrestle.internal.book.BookLimits;
import org.vanillatrestle.internal.book.BookSnapshot;
import org.vanillatrestle.internal.book.ContractBook;
import org.vanillatrestle.internal.log.LogSettings;
import org.vanillatrestle.wire.BookCommandCodec;
import org.vanillatrestle.wire.BookStateMachine;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the contract book as the state machine of a replica that has a data folder.
 */
class BookReplicaTests {

	private static final VmId VM = new VmId("control-1");

	private static final int CHANGE_COUNT = 2_600;

	private static final int CUSTOMER_COUNT = 20;

	private static final LogSettings LOG = new LogSettings(Duration.ofMillis(2).toNanos(),
			Duration.ofMillis(20).toNanos(), 65536, 65536, 65536, 1 << 20, 1000, 65536);

	@TempDir
	private Path folder;

	private final ContractBook book = new ContractBook(BookLimits.DEFAULT);

	@Test
	void shouldRecoverContractsAndAuditRecordsAfterRestart() throws Exception {
		BookSnapshot before;
		try (ReplicaHost host = start(this.book, OpenMode.CREATE_GROUP)) {
			awaitLeader(host);
			applyChanges(host);
			before = host.read((outcome) -> this.book.snapshot()).get(20, TimeUnit.SECONDS);
			assertThat(before.contractAuditRecords()).hasSize(CHANGE_COUNT);
		}
		ContractBook recovered = new ContractBook(BookLimits.DEFAULT);
		try (ReplicaHost host = start(recovered, OpenMode.MUST_EXIST)) {
			awaitLeader(host);
			BookSnapshot after = host.read((outcome) -> recovered.snapshot()).get(20, TimeUnit.SECONDS);
			assertThat(after).isEqualTo(before);
			assertThat(recovered.entry(new CustomerId("team-3")).orElseThrow().revision())
				.isEqualTo(CHANGE_COUNT / CUSTOMER_COUNT);
		}
	}

	@Test
	void shouldReadStateOnlyOnReplicaThread() throws Exception {
		try (ReplicaHost host = start(this.book, OpenMode.CREATE_GROUP)) {
			awaitLeader(host);
			for (int i = 0; i < 500; i++) {
				CompletableFuture<String> read = host.read((outcome) -> Thread.currentThread().getName());
				CompletableFuture<String> proposed = host.propose(change(0),
						(outcome) -> Thread.currentThread().getName());
				assertThat(read.get(20, TimeUnit.SECONDS)).startsWith("replica-");
				assertThat(proposed.get(20, TimeUnit.SECONDS)).startsWith("replica-");
			}
		}
	}

	@Test
	void shouldFailReadsAfterClose() throws Exception {
		ReplicaHost host = start(this.book, OpenMode.CREATE_GROUP);
		host.close();
		assertThat(host.read((outcome) -> this.book.audit(0, Optional.empty()))).isCompletedExceptionally();
	}

	private ReplicaHost start(ContractBook machine, OpenMode mode) throws IOException {
		ReplicaHost host = new ReplicaHost("Book", LogStorage.open(new FolderFiles(this.folder), VM, mode),
				new BookStateMachine(machine), (to, message) -> {
				}, new ReplicaSettings(LOG, Set.of(VM), Integer.MAX_VALUE, 1024, 4096, 1024 * 1024));
		host.start();
		return host;
	}

	private static void awaitLeader(ReplicaHost host) throws Exception {
		while (!host.read(ReadOutcome::latest).get(20, TimeUnit.SECONDS)) {
			Thread.sleep(2);
		}
	}

	private void applyChanges(ReplicaHost host) throws Exception {
		List<CompletableFuture<ProposalOutcome>> outcomes = new ArrayList<>();
		for (int i = 0; i < CHANGE_COUNT; i++) {
			outcomes.add(host.propose(change(i)));
		}
		for (CompletableFuture<ProposalOutcome> outcome : outcomes) {
			assertThat(outcome.get(20, TimeUnit.SECONDS)).isInstanceOf(ProposalOutcome.Committed.class);
		}
	}

	private static byte[] change(int number) {
		String customer = "team-" + number % CUSTOMER_COUNT;
		String document = """
				{ "customer": "%s", "revision": %d, "objective": "COST", "allowedRegions": ["bagmati"],
				  "callers": [ { "name": "clerks", "home": "bagmati", "keySha256": "%064x" } ],
				  "services": [ { "name": "sheets", "kind": "MODEL", "models": ["sheet-1"], "priority": %d } ] }
				""".formatted(customer, number / CUSTOMER_COUNT + 1, number % CUSTOMER_COUNT,
				number / CUSTOMER_COUNT % 9);
		return BookCommandCodec.encode(new BookCommand.Apply("asha", new CustomerId(customer), document, 1000));
	}

}
