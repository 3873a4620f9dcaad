package org.vanillatrestle.daemon.internal.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;

import org.assertj.core.api.ThrowableAssert.ThrowingCallable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.log.DiskWrite;
import org.vanillatrestle.internal.log.EntryBody;
import org.vanillatrestle.internal.log.LogEntry;
import org.vanillatrestle.internal.log.RecoveredState;
import org.vanillatrestle.internal.log.Snapshot;
import org.vanillatrestle.internal.log.Vote;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class LogStorageTests {

	private static final VmId VM = new VmId("vm-1");

	@ParameterizedTest
	@CsvSource({ "0, false", "0.3, false", "0.7, true", "1, false", "1, true" })
	void shouldRecoverWhatWasSyncedAfterCrashAtEveryOperation(double kept, boolean damaged) throws IOException {
		for (int operation = 1; operation <= countOperations(); operation++) {
			ExpectedState model = new ExpectedState();
			FakeStorageFiles files = stopAt(operation, model);
			files.crash(kept, damaged);
			checkRecoveryAndAppend(files, model, operation);
		}
	}

	@Test
	void shouldRecoverWhatWasSyncedWhenPowerLossKeepsSomeUnsyncedNames() throws IOException {
		Random random = new Random(1);
		for (int operation = 1; operation <= countOperations(); operation++) {
			for (int repetition = 0; repetition < 50; repetition++) {
				ExpectedState model = new ExpectedState();
				FakeStorageFiles files = stopAt(operation, model);
				files.losePower(random);
				checkRecoveryAndAppend(files, model, operation);
			}
		}
	}

	@Test
	void shouldKeepWhatWasRecoveredAfterKillWhenPowerIsLost() throws IOException {
		for (int operation = 1; operation <= countOperations(); operation++) {
			FakeStorageFiles files = stopAt(operation, new ExpectedState());
			files.failFromOperation(Integer.MAX_VALUE);
			LogStorage afterKill = LogStorage.open(files, VM, OpenMode.JOIN_IF_EMPTY);
			afterKill.sync();
			files.crash(0, false);
			LogStorage afterPowerLoss = LogStorage.open(files, VM, OpenMode.MUST_EXIST);
			assertThat(afterPowerLoss.replica()).isEqualTo(afterKill.replica());
			assertThat(afterPowerLoss.recovered()).as("after operation %s", operation)
				.usingRecursiveComparison()
				.isEqualTo(afterKill.recovered());
		}
	}

	private static int countOperations() {
		FakeStorageFiles files = new FakeStorageFiles();
		writeBatches(files, new ExpectedState());
		assertThat(files.operationCount()).isGreaterThan(60);
		return files.operationCount();
	}

	private static FakeStorageFiles stopAt(int operation, ExpectedState model) {
		FakeStorageFiles files = new FakeStorageFiles();
		files.failFromOperation(operation);
		writeBatches(files, model);
		assertThat(files.hasFailed()).isTrue();
		return files;
	}

	private static void checkRecoveryAndAppend(FakeStorageFiles files, ExpectedState model, int operation)
			throws IOException {
		LogStorage reopened = LogStorage.open(files, VM, OpenMode.JOIN_IF_EMPTY);
		model.assertMatches(reopened.recovered(), operation);
		RecoveredState first = reopened.recovered();
		long nextIndex = Math.max(first.snapshot().lastIndex(), lastIndex(first)) + 1;
		reopened.write(List.of(append(nextIndex, 50, 1)));
		reopened.sync();
		files.crash(0, false);
		RecoveredState second = LogStorage.open(files, VM, OpenMode.MUST_EXIST).recovered();
		assertThat(lastIndex(second)).as("after operation %s", operation).isEqualTo(nextIndex);
		assertThat(second.entries()).hasSize(first.entries().size() + 1);
	}

	private static void writeBatches(FakeStorageFiles files, ExpectedState model) {
		try (LogStorage storage = LogStorage.open(files, VM, OpenMode.CREATE_GROUP)) {
			for (List<DiskWrite> batch : batches()) {
				model.recordWrites(batch);
				storage.write(batch);
				storage.sync();
				model.recordSync();
			}
		}
		catch (IOException ex) {
			assertThat(ex).hasMessageContaining("no space left");
		}
	}

	/**
	 * Returns batches with votes, appended entries, a conflicting entry, a compaction,
	 * and a snapshot that replaces a conflicting log.
	 */
	private static List<List<DiskWrite>> batches() {
		List<List<DiskWrite>> batches = new ArrayList<>();
		batches.add(List.of(new DiskWrite.SaveVote(new Vote(1, Optional.empty())), append(1, 1, 10)));
		batches.add(List.of(append(11, 1, 5)));
		batches.add(List.of(new DiskWrite.SaveVote(new Vote(2, Optional.empty())), append(14, 2, 4)));
		batches.add(List.of(snapshot(12, 1, false)));
		batches.add(List.of(append(18, 2, 20)));
		batches.add(List.of(new DiskWrite.SaveVote(new Vote(5, Optional.empty())), snapshot(30, 4, true)));
		batches.add(List.of(append(31, 5, 3), append(34, 5, 3)));
		batches.add(List.of(snapshot(33, 5, false), append(37, 5, 1)));
		return batches;
	}

	private static DiskWrite append(long first, long term, int count) {
		List<LogEntry> entries = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			entries.add(new LogEntry(first + i, term, new EntryBody.Command(new byte[] { (byte) term })));
		}
		return new DiskWrite.AppendEntries(entries);
	}

	private static DiskWrite snapshot(long index, long term, boolean discard) {
		Snapshot empty = Snapshot.initial(org.vanillatrestle.internal.log.Membership.NONE);
		return new DiskWrite.SaveSnapshot(new Snapshot(index, term, empty.membership(), new byte[100]), discard);
	}

	private static long lastIndex(RecoveredState state) {
		List<LogEntry> entries = state.entries();
		return entries.isEmpty() ? state.snapshot().lastIndex() : entries.get(entries.size() - 1).index();
	}

	@Test
	void shouldTruncateTornTail() throws IOException {
		FakeStorageFiles files = createPopulatedFiles();
		String name = lastSegment(files);
		byte[] bytes = files.bytes(name);
		files.replace(name, java.util.Arrays.copyOf(bytes, bytes.length - 3));
		assertThat(lastIndex(LogStorage.open(files, VM, OpenMode.MUST_EXIST).recovered())).isEqualTo(36);
		assertThat(files.bytes(name).length).isLessThan(bytes.length - 3);
	}

	@Test
	void shouldRefuseEveryDamagedByteBeforeLastBatch() throws IOException {
		FakeStorageFiles original = createPopulatedFiles();
		String name = lastSegment(original);
		int size = original.bytes(name).length;
		LogStorage storage = LogStorage.open(original, VM, OpenMode.MUST_EXIST);
		storage.write(List.of(append(38, 5, 1)));
		storage.sync();
		for (int position = 0; position < size; position++) {
			FakeStorageFiles files = copy(original);
			byte[] bytes = files.bytes(name);
			bytes[position] ^= 4;
			files.replace(name, bytes);
			assertReason(() -> LogStorage.open(files, VM, OpenMode.MUST_EXIST), StorageException.Reason.DAMAGED);
		}
	}

	@Test
	void shouldRefuseEachMissingFile() throws IOException {
		FakeStorageFiles original = createPopulatedFiles();
		for (String name : original.names()) {
			FakeStorageFiles files = copy(original);
			files.delete(name);
			assertReason(() -> LogStorage.open(files, VM, OpenMode.JOIN_IF_EMPTY), StorageException.Reason.DAMAGED);
		}
	}

	@Test
	void shouldRefuseDamagedSnapshotAndIdentity() throws IOException {
		FakeStorageFiles original = createPopulatedFiles();
		for (String name : original.names()) {
			if (!Segments.isSegment(name)) {
				FakeStorageFiles files = copy(original);
				byte[] bytes = files.bytes(name);
				bytes[bytes.length / 2] ^= 1;
				files.replace(name, bytes);
				assertReason(() -> LogStorage.open(files, VM, OpenMode.MUST_EXIST), StorageException.Reason.DAMAGED);
			}
		}
	}

	@Test
	void shouldRefuseEmptiedFolderAndAssignNewStorageId() throws IOException {
		FakeStorageFiles files = new FakeStorageFiles();
		assertReason(() -> LogStorage.open(files, VM, OpenMode.MUST_EXIST), StorageException.Reason.EMPTIED);
		LogStorage first = LogStorage.open(files, VM, OpenMode.JOIN_IF_EMPTY);
		LogStorage second = LogStorage.open(new FakeStorageFiles(), VM, OpenMode.JOIN_IF_EMPTY);
		assertThat(first.replica().storage()).isNotEqualTo(second.replica().storage());
		assertReason(() -> LogStorage.open(files, VM, OpenMode.CREATE_GROUP), StorageException.Reason.NOT_EMPTY);
	}

	@Test
	void shouldRefuseForeignFolderAndForeignSegment() throws IOException {
		FakeStorageFiles files = createPopulatedFiles();
		assertReason(() -> LogStorage.open(files, new VmId("vm-2"), OpenMode.MUST_EXIST),
				StorageException.Reason.FOREIGN);
		files.replace(lastSegment(files), createPopulatedFiles().bytes(lastSegment(files)));
		assertReason(() -> LogStorage.open(files, VM, OpenMode.MUST_EXIST), StorageException.Reason.FOREIGN);
	}

	@Test
	void shouldRefuseLockedFolder(@TempDir Path folder) throws IOException {
		try (LogStorage storage = LogStorage.open(new FolderFiles(folder), VM, OpenMode.CREATE_GROUP)) {
			storage.write(List.of(append(1, 1, 3)));
			storage.sync();
			assertReason(() -> LogStorage.open(new FolderFiles(folder), VM, OpenMode.MUST_EXIST),
					StorageException.Reason.LOCKED);
		}
		try (LogStorage storage = LogStorage.open(new FolderFiles(folder), VM, OpenMode.MUST_EXIST)) {
			assertThat(lastIndex(storage.recovered())).isEqualTo(3);
			assertThat(storage.recoveredBytes()).isPositive();
		}
	}

	@Test
	void shouldAcceptNothingAfterFailedSync() throws IOException {
		FakeStorageFiles files = new FakeStorageFiles();
		LogStorage storage = LogStorage.open(files, VM, OpenMode.CREATE_GROUP);
		files.failFromOperation(2);
		storage.write(List.of(append(1, 1, 1)));
		assertThatExceptionOfType(IOException.class).isThrownBy(storage::sync);
		files.failFromOperation(Integer.MAX_VALUE);
		assertReason(storage::sync, StorageException.Reason.FAILED);
	}

	private static FakeStorageFiles createPopulatedFiles() throws IOException {
		FakeStorageFiles files = new FakeStorageFiles();
		writeBatches(files, new ExpectedState());
		assertThat(lastIndex(LogStorage.open(files, VM, OpenMode.MUST_EXIST).recovered())).isEqualTo(37);
		return files;
	}

	private static FakeStorageFiles copy(FakeStorageFiles original) {
		FakeStorageFiles copy = new FakeStorageFiles();
		original.names().forEach((name) -> copy.replace(name, original.bytes(name)));
		return copy;
	}

	private static String lastSegment(FakeStorageFiles files) {
		return files.names().stream().filter(Segments::isSegment).reduce((first, second) -> second).orElseThrow();
	}

	private static void assertReason(ThrowingCallable call, StorageException.Reason reason) {
		assertThatExceptionOfType(StorageException.class).isThrownBy(call)
			.extracting(StorageException::reason)
			.isEqualTo(reason);
	}

	/**
	 * The state expected after a crash: everything that was synced, and beyond it only
	 * data that was written.
	 */
	private static final class ExpectedState {

		private final TreeMap<Long, Long> terms = new TreeMap<>();

		private TreeMap<Long, Long> syncedTerms = new TreeMap<>();

		private long term;

		private long syncedTerm;

		private long syncedSnapshot;

		private long discardedFromIndex = Long.MAX_VALUE;

		void recordWrites(List<DiskWrite> batch) {
			this.discardedFromIndex = Long.MAX_VALUE;
			batch.forEach(this::write);
		}

		private void write(DiskWrite write) {
			if (write instanceof DiskWrite.SaveVote save) {
				this.term = save.vote().term();
			}
			else if (write instanceof DiskWrite.AppendEntries append) {
				long first = append.entries().get(0).index();
				this.discardedFromIndex = Math.min(this.discardedFromIndex, first);
				this.terms.tailMap(first, true).clear();
				append.entries().forEach((entry) -> this.terms.put(entry.index(), entry.term()));
			}
			else if (write instanceof DiskWrite.SaveSnapshot save && save.discardLog()) {
				this.discardedFromIndex = 0;
				this.terms.clear();
			}
		}

		void recordSync() {
			this.syncedTerms = new TreeMap<>(this.terms);
			this.syncedTerm = this.term;
		}

		void assertMatches(RecoveredState state, int operation) {
			assertThat(state.vote().term()).as("term after operation %s", operation)
				.isBetween(this.syncedTerm, this.term);
			long coveredIndex = state.snapshot().lastIndex();
			TreeMap<Long, Long> found = new TreeMap<>();
			state.entries().forEach((entry) -> found.put(entry.index(), entry.term()));
			this.syncedTerms.headMap(Math.max(this.discardedFromIndex, coveredIndex + 1), false)
				.tailMap(coveredIndex, false)
				.forEach((index, entryTerm) -> assertThat(found).as("after operation %s", operation)
					.containsEntry(index, entryTerm));
			found
				.forEach((index, entryTerm) -> assertThat(entryTerm).as("entry %s after operation %s", index, operation)
					.isIn(this.terms.get(index), this.syncedTerms.get(index)));
		}

	}

}
