package org.vanillatrestle.bench.internal.log;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

import org.vanillatrestle.VmId;
import org.vanillatrestle.daemon.internal.replica.ReplicaHost;
import org.vanillatrestle.daemon.internal.replica.ReplicaSettings;
import org.vanillatrestle.daemon.internal.storage.FolderFiles;
import org.vanillatrestle.daemon.internal.storage.LogStorage;
import org.vanillatrestle.daemon.internal.storage.OpenMode;
import org.vanillatrestle.internal.log.LogSettings;
import org.vanillatrestle.internal.log.Role;

/**
 * A group of replicas in one process, with real files and messages handed over in memory.
 * <p>
 * Counts the messages and their bytes. Used by one thread.
 */
final class LocalGroup implements AutoCloseable {

	private static final long POLL_MILLIS = 1;

	private static final int WAITING_BYTES = 16 * 1024 * 1024;

	private final Map<VmId, ReplicaHost> hosts = new ConcurrentHashMap<>();

	private final LongAdder messages = new LongAdder();

	private final LongAdder bytes = new LongAdder();

	private LocalGroup() {
	}

	static LocalGroup form(Path folder, int size, int batchLimit) throws IOException, InterruptedException {
		Set<VmId> vms = new LinkedHashSet<>();
		for (int i = 1; i <= size; i++) {
			vms.add(new VmId("vm-" + i));
		}
		return open(folder, vms, batchLimit, OpenMode.CREATE_GROUP);
	}

	/**
	 * Starts a group of one again and waits until it is ready.
	 * @param folder the folder that held it
	 * @return the group
	 * @throws IOException if the folder can't be used
	 * @throws InterruptedException if the thread is interrupted
	 */
	static LocalGroup reopen(Path folder) throws IOException, InterruptedException {
		return open(folder, Set.of(new VmId("vm-1")), 1, OpenMode.MUST_EXIST);
	}

	private static LocalGroup open(Path folder, Set<VmId> vms, int batchLimit, OpenMode first)
			throws IOException, InterruptedException {
		LocalGroup group = new LocalGroup();
		OpenMode mode = first;
		for (VmId vm : vms) {
			LogStorage storage = LogStorage.open(new FolderFiles(folder.resolve(vm.value())), vm, mode);
			group.start(vm, storage, new ReplicaSettings(LogSettings.defaults(), vms, Integer.MAX_VALUE, batchLimit,
					1 << 16, WAITING_BYTES));
			mode = OpenMode.JOIN_IF_EMPTY;
		}
		while (group.leader().status().membership().voters().size() < vms.size()) {
			Thread.sleep(POLL_MILLIS);
		}
		return group;
	}

	private void start(VmId vm, LogStorage storage, ReplicaSettings settings) {
		ReplicaHost host = new ReplicaHost("Bench-" + vm, storage, new CountingMachine(),
				(to, message) -> deliver(vm, to, message), settings);
		this.hosts.put(vm, host);
		host.start();
	}

	private void deliver(VmId from, VmId to, byte[] message) {
		this.messages.increment();
		this.bytes.add(message.length);
		ReplicaHost receiver = this.hosts.get(to);
		if (receiver != null) {
			receiver.receive(from, message);
		}
	}

	ReplicaHost leader() throws InterruptedException {
		while (true) {
			for (ReplicaHost host : this.hosts.values()) {
				if (host.status().role() == Role.LEADER && host.status().leaderlessNanos() == 0) {
					return host;
				}
			}
			Thread.sleep(POLL_MILLIS);
		}
	}

	long messages() {
		return this.messages.sum();
	}

	long bytes() {
		return this.bytes.sum();
	}

	@Override
	public void close() {
		this.hosts.values().forEach(ReplicaHost::close);
	}

}
