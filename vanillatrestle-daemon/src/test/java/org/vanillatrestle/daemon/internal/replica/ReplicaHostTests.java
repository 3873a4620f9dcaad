package org.vanillatrestle.daemon.internal.replica;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.vanillatrestle.VmId;
import org.vanillatrestle.daemon.internal.storage.FakeStorageFiles;
import org.vanillatrestle.daemon.internal.storage.FolderFiles;
import org.vanillatrestle.daemon.internal.storage.LogStorage;
import org.vanillatrestle.daemon.internal.storage.OpenMode;
import org.vanillatrestle.daemon.internal.storage.StorageFiles;
import org.vanillatrestle.internal.log.DiskWrite;
import org.vanillatrestle.internal.log.EntryBody;
import org.vanillatrestle.internal.log.LogEntry;
import org.vanillatrestle.internal.log.LogEnvelope;
import org.vanillatrestle.internal.log.LogMessage;
import org.vanillatrestle.internal.log.LogSettings;
import org.vanillatrestle.internal.log.ReplicaId;
import org.vanillatrestle.internal.log.Role;
import org.vanillatrestle.internal.log.StorageId;
import org.vanillatrestle.wire.LogMessageCodec;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class ReplicaHostTests {

	private static final Set<VmId> VMS = Set.of(new VmId("vm-1"), new VmId("vm-2"), new VmId("vm-3"));

	private static final VmId FIRST = new VmId("vm-1");

	private final Map<VmId, ReplicaHost> hosts = new ConcurrentHashMap<>();

	private final Map<VmId, RecordingStateMachine> machines = new TreeMap<>();

	@AfterEach
	void closeHosts() {
		this.hosts.values().forEach(ReplicaHost::close);
	}

	@Test
	void shouldCommitRestartAndReplaceLostDisk(@TempDir Path folder) throws Exception {
		for (VmId vm : VMS) {
			start(vm, VMS, new FolderFiles(folder.resolve(vm.value())), mode(vm));
		}
		await(() -> leader().status().membership().voters().size() == 3);
		List<String> accepted = commit(0, 300);
		ReplicaHost formerLeader = leader();
		stop(formerLeader);
		accepted.addAll(commit(300, 400));
		VmId restarted = formerLeader.status().self().vm();
		start(restarted, VMS, new FolderFiles(folder.resolve(restarted.value())), OpenMode.MUST_EXIST);
		ReplicaHost follower = this.hosts.values()
			.stream()
			.filter((host) -> host != leader())
			.findFirst()
			.orElseThrow();
		VmId vm = follower.status().self().vm();
		stop(follower);
		deleteFiles(folder.resolve(vm.value()));
		start(vm, VMS, new FolderFiles(folder.resolve(vm.value())), OpenMode.JOIN_IF_EMPTY);
		await(() -> leader().status().membership().isVoter(this.hosts.get(vm).status().self()));
		accepted.addAll(commit(400, 450));
		for (RecordingStateMachine machine : this.machines.values()) {
			await(() -> machine.commands().size() == accepted.size());
			assertThat(machine.commands()).isEqualTo(accepted);
		}
		assertThat(leader().confirmRead().get(20, TimeUnit.SECONDS).latest()).isTrue();
	}

	@Test
	void shouldKeepEveryAcknowledgedCommandWhenDiskFailsAtEachOperation() throws Exception {
		for (int operation = 1; operation <= 25; operation++) {
			FakeStorageFiles files = new FakeStorageFiles();
			ReplicaHost host = start(FIRST, Set.of(FIRST), files, OpenMode.CREATE_GROUP);
			await(() -> host.status().role() == Role.LEADER);
			files.failFromOperation(operation);
			List<String> accepted = new ArrayList<>();
			ProposalOutcome outcome = null;
			for (int i = 0; outcome == null; i++) {
				ProposalOutcome last = host.propose(bytes("c" + i)).get(20, TimeUnit.SECONDS);
				if (last instanceof ProposalOutcome.Committed) {
					accepted.add("c" + i);
				}
				else {
					outcome = last;
				}
			}
			assertThat(outcome).isInstanceOf(ProposalOutcome.Unknown.class);
			await(() -> host.status().role() == Role.FAILED);
			assertThat(host.status().failure().orElseThrow()).contains("no space left");
			stop(host);
			files.crash(0, false);
			ReplicaHost reopened = start(FIRST, Set.of(FIRST), files, OpenMode.MUST_EXIST);
			await(() -> reopened.status().role() == Role.LEADER && reopened.status().leaderlessNanos() == 0);
			List<String> found = this.machines.get(FIRST).commands();
			assertThat(found.subList(0, accepted.size())).isEqualTo(accepted);
			assertThat(found).hasSizeBetween(accepted.size(), accepted.size() + 1);
			stop(reopened);
		}
	}

	@Test
	void shouldNotAcknowledgeRecoveredEntryThatIsLostWithThePower() throws Exception {
		FakeStorageFiles files = new FakeStorageFiles();
		LogStorage killed = LogStorage.open(files, FIRST, OpenMode.CREATE_GROUP);
		LogEntry entry = new LogEntry(1, 1, new EntryBody.Command(bytes("c")));
		killed.write(List.of(new DiskWrite.AppendEntries(List.of(entry))));
		files.failFromOperation(2);
		assertThatExceptionOfType(IOException.class).isThrownBy(killed::sync);
		files.failFromOperation(Integer.MAX_VALUE);
		LogStorage storage = LogStorage.open(files, FIRST, OpenMode.MUST_EXIST);
		assertThat(storage.recovered().entries()).hasSize(1);
		CompletableFuture<byte[]> acknowledgement = new CompletableFuture<>();
		ReplicaHost host = new ReplicaHost("Test", storage, new RecordingStateMachine(), (to, message) -> {
			files.crash(0, false);
			acknowledgement.complete(message);
		}, ReplicaSettings.of(VMS));
		this.hosts.put(FIRST, host);
		ReplicaId leader = new ReplicaId(new VmId("vm-2"), new StorageId("s"));
		LogMessage heartbeat = new LogMessage.AppendRequest(1, 1, 1, List.of(), 0, 0);
		host.receive(leader.vm(), LogMessageCodec
			.encode(new LogEnvelope(host.status().membership().group(), leader, killed.replica(), heartbeat)));
		host.start();
		assertThat(LogMessageCodec.decode(acknowledgement.get(20, TimeUnit.SECONDS)).message())
			.isEqualTo(new LogMessage.AppendResponse(1, true, 1, 0, 0));
		stop(host);
		assertThat(LogStorage.open(files, FIRST, OpenMode.MUST_EXIST).recovered().entries()).hasSize(1);
	}

	@Test
	void shouldBatchPendingProposalsInOneSync() throws Exception {
		FakeStorageFiles files = new FakeStorageFiles();
		LogSettings log = new LogSettings(2_000_000, 20_000_000, 65536, 65536, 512, 1 << 20, 10_000, 1024);
		ReplicaHost host = start(FIRST, Set.of(FIRST), files, OpenMode.CREATE_GROUP, log);
		await(() -> host.status().role() == Role.LEADER && host.status().leaderlessNanos() == 0);
		CountDownLatch release = new CountDownLatch(1);
		this.machines.get(FIRST).blockNextApply(release);
		List<CompletableFuture<ProposalOutcome>> futures = new ArrayList<>();
		futures.add(host.propose(bytes("held")));
		await(this.machines.get(FIRST)::isBlocked);
		files.failFromOperation(Integer.MAX_VALUE);
		for (int i = 0; i < 500; i++) {
			futures.add(host.propose(bytes("c" + i)));
		}
		release.countDown();
		for (CompletableFuture<ProposalOutcome> future : futures) {
			assertThat(future.get(20, TimeUnit.SECONDS)).isInstanceOf(ProposalOutcome.Committed.class);
		}
		assertThat(files.operationCount()).as("one write and one sync").isEqualTo(2);
	}

	@Test
	void shouldRejectRequestsWithoutLeaderAndAfterClose() throws Exception {
		ReplicaHost host = start(FIRST, VMS, new FakeStorageFiles(), OpenMode.JOIN_IF_EMPTY);
		assertThat(host.propose(bytes("c")).get(20, TimeUnit.SECONDS)).isInstanceOf(ProposalOutcome.NotLeader.class);
		assertThat(host.confirmRead().get(20, TimeUnit.SECONDS).latest()).isFalse();
		host.close();
		assertThat(host.propose(bytes("c")).get(20, TimeUnit.SECONDS)).isInstanceOf(ProposalOutcome.NotLeader.class);
		assertThat(host.remove(host.status().self()).get(20, TimeUnit.SECONDS)).isFalse();
	}

	@Test
	void shouldRejectCommandsBeyondPendingBytesLimit() throws Exception {
		ReplicaHost host = start(FIRST, Set.of(FIRST), new FakeStorageFiles(), OpenMode.CREATE_GROUP);
		await(() -> host.status().role() == Role.LEADER && host.status().leaderlessNanos() == 0);
		CountDownLatch release = new CountDownLatch(1);
		this.machines.get(FIRST).blockNextApply(release);
		CompletableFuture<ProposalOutcome> held = host.propose(new byte[1 << 20]);
		ProposalOutcome refused = host.propose(new byte[1]).get(20, TimeUnit.SECONDS);
		release.countDown();
		assertThat(refused).isInstanceOf(ProposalOutcome.Overloaded.class);
		assertThat(held.get(20, TimeUnit.SECONDS)).isInstanceOf(ProposalOutcome.Committed.class);
		await(() -> host.propose(new byte[1]).join() instanceof ProposalOutcome.Committed);
	}

	@Test
	void shouldDropMalformedMessagesAndForgedSenders() throws Exception {
		ReplicaHost host = start(FIRST, Set.of(FIRST), new FakeStorageFiles(), OpenMode.CREATE_GROUP);
		await(() -> host.status().role() == Role.LEADER);
		long term = host.status().term();
		ReplicaId forged = new ReplicaId(new VmId("vm-3"), new StorageId("s"));
		LogMessage request = new LogMessage.VoteRequest(1000, 1000, 1000, false, true);
		host.receive(new VmId("vm-2"), new byte[] { 1, 2, 3 });
		host.receive(new VmId("vm-2"), LogMessageCodec
			.encode(new LogEnvelope(host.status().membership().group(), forged, host.status().self(), request)));
		assertThat(host.propose(bytes("c")).get(20, TimeUnit.SECONDS)).isInstanceOf(ProposalOutcome.Committed.class);
		assertThat(host.status().term()).isEqualTo(term);
	}

	private ReplicaHost start(VmId vm, Set<VmId> wanted, StorageFiles files, OpenMode mode) throws IOException {
		int heartbeatMillis = (wanted.size() == 1) ? 2 : 20;
		LogSettings log = new LogSettings(Duration.ofMillis(heartbeatMillis).toNanos(),
				Duration.ofMillis(10 * heartbeatMillis).toNanos(), 4096, 65536, 512, 4096, 100, 1024);
		return start(vm, wanted, files, mode, log);
	}

	private ReplicaHost start(VmId vm, Set<VmId> wanted, StorageFiles files, OpenMode mode, LogSettings log)
			throws IOException {
		RecordingStateMachine machine = new RecordingStateMachine();
		ReplicaTransport transport = (to, message) -> {
			ReplicaHost receiver = this.hosts.get(to);
			if (receiver != null) {
				receiver.receive(vm, message);
			}
		};
		ReplicaHost host = new ReplicaHost("Test", LogStorage.open(files, vm, mode), machine, transport,
				new ReplicaSettings(log, wanted, Integer.MAX_VALUE, 1024, 4096, 1 << 20));
		this.machines.put(vm, machine);
		this.hosts.put(vm, host);
		host.start();
		return host;
	}

	private void stop(ReplicaHost host) {
		host.close();
		this.hosts.values().remove(host);
	}

	private List<String> commit(int from, int to) throws Exception {
		List<String> accepted = new ArrayList<>();
		for (int i = from; i < to; i++) {
			ProposalOutcome outcome = new ProposalOutcome.Overloaded();
			while (!(outcome instanceof ProposalOutcome.Committed)) {
				outcome = leader().propose(bytes("c" + i)).get(20, TimeUnit.SECONDS);
				assertThat(outcome).isNotInstanceOf(ProposalOutcome.Unknown.class);
			}
			accepted.add("c" + i);
		}
		return accepted;
	}

	private ReplicaHost leader() {
		try {
			await(() -> this.hosts.values().stream().anyMatch(ReplicaHostTests::isLeader));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return this.hosts.values().stream().filter(ReplicaHostTests::isLeader).findFirst().orElseThrow();
	}

	private static boolean isLeader(ReplicaHost host) {
		return host.status().role() == Role.LEADER && host.status().leaderlessNanos() == 0;
	}

	private static OpenMode mode(VmId vm) {
		return vm.equals(FIRST) ? OpenMode.CREATE_GROUP : OpenMode.JOIN_IF_EMPTY;
	}

	private static byte[] bytes(String command) {
		return command.getBytes(StandardCharsets.US_ASCII);
	}

	private static void deleteFiles(Path folder) throws IOException {
		try (Stream<Path> files = Files.list(folder)) {
			for (Path file : files.toList()) {
				Files.delete(file);
			}
		}
	}

	private static void await(BooleanSupplier condition) throws InterruptedException {
		for (int i = 0; i < 10_000 && !condition.getAsBoolean(); i++) {
			Thread.sleep(2);
		}
		assertThat(condition.getAsBoolean()).isTrue();
	}

}
