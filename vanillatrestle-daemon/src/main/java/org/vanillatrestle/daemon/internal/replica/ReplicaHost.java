package org.vanillatrestle.daemon.internal.replica;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;

import org.apache.commons.rng.simple.RandomSource;
import org.jboss.logging.Logger;
import org.vanillatrestle.VmId;
import org.vanillatrestle.daemon.internal.storage.LogStorage;
import org.vanillatrestle.internal.log.EntryBody;
import org.vanillatrestle.internal.log.LogEntry;
import org.vanillatrestle.internal.log.LogEnvelope;
import org.vanillatrestle.internal.log.LogStatus;
import org.vanillatrestle.internal.log.Outputs;
import org.vanillatrestle.internal.log.Proposal;
import org.vanillatrestle.internal.log.ReplicaId;
import org.vanillatrestle.internal.log.ReplicatedLog;
import org.vanillatrestle.internal.log.Role;
import org.vanillatrestle.internal.log.StateChange;
import org.vanillatrestle.internal.log.StateMachine;
import org.vanillatrestle.internal.log.VmLocation;
import org.vanillatrestle.wire.LogMessageCodec;
import org.vanillatrestle.wire.MalformedMessageException;

/**
 * Runs one replica on a thread that exclusively owns the log, its storage and its state
 * machine.
 * <p>
 * Queued inputs are handled in batches. One sync makes a batch durable; nothing in it is
 * acknowledged before that sync. After a failed write or sync the replica is inactive and
 * its status contains the cause. All public methods may be called by any thread. Futures
 * complete on the replica's thread, so their dependent actions must not block.
 */
public final class ReplicaHost implements AutoCloseable {

	private static final Logger LOG = Logger.getLogger(ReplicaHost.class);

	private static final long HANDOVER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	private final String name;

	private final LogStorage storage;

	private final StateMachine machine;

	private final ReplicaTransport transport;

	private final ReplicaSettings settings;

	private final InputQueue inputs;

	private final ReplicatedLog log;

	private final AtomicLong pendingBytes = new AtomicLong();

	private final PendingProposals proposals = new PendingProposals();

	private final PendingReads reads = new PendingReads();

	private final Thread thread;

	private final long startNanos = System.nanoTime();

	private volatile LogStatus status;

	private long closeStartNanos;

	private Role lastLoggedRole = Role.FOLLOWER;

	/**
	 * Creates a replica that runs once {@link #start()} is called.
	 * @param name the name in the thread's name and log messages, such as "Ledger"
	 * @param storage the open data folder; closed together with the replica
	 * @param machine the state machine; used only by the replica's thread
	 * @param transport sends messages to other VMs
	 * @param settings the settings
	 */
	public ReplicaHost(String name, LogStorage storage, StateMachine machine, ReplicaTransport transport,
			ReplicaSettings settings) {
		this.name = name;
		this.storage = storage;
		this.machine = machine;
		this.transport = transport;
		this.settings = settings;
		this.inputs = new InputQueue(settings.maxQueuedInputs());
		long seed = System.nanoTime() ^ ((long) storage.replica().hashCode() << Integer.SIZE);
		this.log = new ReplicatedLog(storage.replica(), settings.log(), storage.recovered(),
				RandomSource.SPLIT_MIX_64.create(seed), nowNanos());
		this.log.setWantedVoters(settings.wantedVoters());
		this.log.setDesiredVoterCount(settings.desiredVoterCount());
		this.status = this.log.status(nowNanos());
		this.thread = new Thread(this::run, "replica-" + name);
	}

	/**
	 * Starts the replica's thread.
	 */
	public void start() {
		this.thread.start();
	}

	/**
	 * Receives a message from another replica; drops it if the input queue is full.
	 * @param from the sending VM, as identified by the transport
	 * @param message the encoded message
	 */
	public void receive(VmId from, byte[] message) {
		try {
			LogEnvelope envelope = LogMessageCodec.decode(message);
			if (!envelope.from().vm().equals(from)) {
				LOG.warnf("%s: dropped a message from %s that names %s as its sender", this.name, from,
						envelope.from().vm());
				return;
			}
			this.inputs.submit(() -> this.log.receive(envelope, nowNanos()), () -> {
			});
		}
		catch (MalformedMessageException ex) {
			LOG.warnf("%s: dropped a malformed message from %s", this.name, from);
		}
	}

	/**
	 * Proposes a command.
	 * @param command the command; must not be modified afterwards
	 * @return the future outcome; never completes exceptionally
	 */
	public CompletableFuture<ProposalOutcome> propose(byte[] command) {
		CompletableFuture<ProposalOutcome> future = new CompletableFuture<>();
		if (this.pendingBytes.addAndGet(command.length) > this.settings.maxPendingBytes()) {
			this.pendingBytes.addAndGet(-command.length);
			future.complete(new ProposalOutcome.Overloaded());
			return future;
		}
		future.thenRun(() -> this.pendingBytes.addAndGet(-command.length));
		this.inputs.submit(() -> propose(command, future), () -> future.complete(rejectionOutcome()));
		return future;
	}

	private void propose(byte[] command, CompletableFuture<ProposalOutcome> future) {
		Proposal proposal = this.log.propose(command, nowNanos());
		if (proposal instanceof Proposal.Appended appended) {
			this.proposals.add(appended, future);
		}
		else if (proposal instanceof Proposal.Refused refused) {
			future.complete(new ProposalOutcome.NotLeader(refused.leader().map(ReplicaId::vm)));
		}
	}

	private ProposalOutcome rejectionOutcome() {
		return this.inputs.isClosing() ? new ProposalOutcome.NotLeader(otherLeader())
				: new ProposalOutcome.Overloaded();
	}

	/**
	 * Checks whether the state machine contains every command acknowledged so far.
	 * @return the outcome; completes on the replica's thread, which may read the state
	 */
	public CompletableFuture<ReadOutcome> confirmRead() {
		CompletableFuture<ReadOutcome> future = new CompletableFuture<>();
		this.inputs.submit(() -> this.reads.add(this.log.requestRead(nowNanos()), future),
				() -> future.complete(unconfirmedRead()));
		return future;
	}

	/**
	 * Reads the state machine on the replica's thread, on which an action attached to a
	 * completed {@link #confirmRead()} does not run.
	 * @param <T> the type of the result
	 * @param reader reads the state machine; must return a copy
	 * @return the result; fails with {@link RejectedExecutionException} if the replica is
	 * closed or its input queue is full
	 */
	public <T> CompletableFuture<T> read(Function<ReadOutcome, T> reader) {
		CompletableFuture<ReadOutcome> confirmed = new CompletableFuture<>();
		CompletableFuture<T> value = confirmed.thenApply(reader);
		this.inputs.submit(() -> this.reads.add(this.log.requestRead(nowNanos()), confirmed), () -> confirmed
			.completeExceptionally(new RejectedExecutionException("the replica is closed or its input queue is full")));
		return value;
	}

	/**
	 * Proposes a command and reads the state machine on the replica's thread after the
	 * command is applied.
	 * @param <T> the type of the result
	 * @param command the command; must not be modified afterwards
	 * @param mapper computes the result from the outcome; runs on the replica's thread at
	 * least if the command is committed
	 * @return the result
	 */
	public <T> CompletableFuture<T> propose(byte[] command, Function<ProposalOutcome, T> mapper) {
		CompletableFuture<ProposalOutcome> future = new CompletableFuture<>();
		CompletableFuture<T> result = future.thenApply(mapper);
		this.inputs.submit(() -> propose(command, future), () -> future.complete(rejectionOutcome()));
		return result;
	}

	/**
	 * Removes a permanently lost replica from the group.
	 * @param replica the replica
	 * @return whether the change was started; false if another change is in progress,
	 * this replica is not the leader, or too few replicas would remain
	 */
	public CompletableFuture<Boolean> remove(ReplicaId replica) {
		CompletableFuture<Boolean> future = new CompletableFuture<>();
		this.inputs.submit(() -> future.complete(this.log.remove(replica, nowNanos())), () -> future.complete(false));
		return future;
	}

	/**
	 * Sets the VMs that may have a voter.
	 * @param vms the locations of the desired VMs
	 */
	public void setWantedVoters(Map<VmId, VmLocation> vms) {
		this.inputs.submit(() -> this.log.setWantedVoters(vms), () -> {
		});
	}

	/**
	 * Returns the status as of the last heartbeat or change.
	 * @return the status
	 */
	public LogStatus status() {
		return this.status;
	}

	/**
	 * Returns the number of bytes that were read from disk to recover the replica.
	 * @return the number of bytes
	 */
	public long recoveredBytes() {
		return this.storage.recoveredBytes();
	}

	/**
	 * Transfers leadership if possible, completes pending requests, closes the storage,
	 * and waits for the thread to end.
	 */
	@Override
	public void close() {
		this.inputs.close();
		try {
			this.thread.join();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private Optional<VmId> otherLeader() {
		return this.status.leader().map(ReplicaId::vm).filter((vm) -> !vm.equals(this.status.self().vm()));
	}

	private ReadOutcome unconfirmedRead() {
		return new ReadOutcome(false, this.status.appliedIndex());
	}

	private long nowNanos() {
		return System.nanoTime() - this.startNanos;
	}

	private void run() {
		try (this.storage) {
			processOutputs();
			// The log acknowledges what was recovered without writing it again.
			writeAndSync(this.log.takeOutputs());
			runOnce(0);
			while (!canStop()) {
				runOnce(this.settings.log().heartbeatIntervalNanos() / 2);
			}
		}
		catch (IOException ex) {
			LOG.errorf(ex, "%s: failed to close the data folder", this.name);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (RuntimeException | OutOfMemoryError ex) {
			LOG.errorf(ex, "%s: the replica stops after an unexpected error", this.name);
			fail(ex);
		}
		finally {
			completePending();
		}
	}

	private boolean canStop() {
		if (!this.inputs.isClosing()) {
			return false;
		}
		if (this.closeStartNanos == 0) {
			this.closeStartNanos = nowNanos();
			return !this.log.handOver(nowNanos());
		}
		return this.log.status(nowNanos()).role() != Role.LEADER
				|| nowNanos() - this.closeStartNanos > HANDOVER_TIMEOUT_NANOS;
	}

	private void runOnce(long waitNanos) throws InterruptedException {
		this.inputs.runBatch(waitNanos, this.settings.maxBatchInputs());
		this.log.tick(nowNanos());
		processOutputsAndCompact();
		publishStatus();
	}

	private void processOutputsAndCompact() {
		boolean compacted = true;
		while (compacted && processOutputs()) {
			compacted = compactIfDue();
		}
	}

	private boolean processOutputs() {
		Outputs outputs = this.log.takeOutputs();
		while (!outputs.isEmpty()) {
			outputs.messages()
				.forEach((envelope) -> this.transport.send(envelope.to().vm(), LogMessageCodec.encode(envelope)));
			outputs.stateChanges().forEach(this::applyChange);
			outputs.reads().forEach(this.reads::complete);
			if (!outputs.writes().isEmpty() && !writeAndSync(outputs)) {
				return false;
			}
			outputs = this.log.takeOutputs();
		}
		return true;
	}

	private boolean writeAndSync(Outputs outputs) {
		try {
			this.storage.write(outputs.writes());
			this.storage.sync();
			this.log.synced(outputs.writeNumber(), nowNanos());
			return true;
		}
		catch (IOException ex) {
			fail(ex);
			return false;
		}
	}

	private void fail(Throwable cause) {
		LOG.errorf("%s: the replica stops because its storage failed: %s", this.name, cause.getMessage());
		this.log.storageFailed(cause.toString());
		this.proposals.completeAll("the storage failed");
		publishStatus();
	}

	private void applyChange(StateChange change) {
		if (change instanceof StateChange.Restore restore) {
			this.machine.restore(restore.snapshot().lastIndex(), restore.snapshot().state());
		}
		else if (change instanceof StateChange.Apply apply) {
			apply(apply.entry());
		}
	}

	private void apply(LogEntry entry) {
		byte[] reply = (entry.body() instanceof EntryBody.Command command)
				? this.machine.apply(entry.index(), command.bytes()) : new byte[0];
		this.proposals.completeApplied(entry, reply);
	}

	/**
	 * Compacts the log if due. All outputs must have been processed; otherwise the log's
	 * applied index may be ahead of the state machine.
	 * @return whether the log was compacted
	 */
	private boolean compactIfDue() {
		if (!this.log.isCompactionDue()) {
			return false;
		}
		this.log.compact(this.machine.snapshot());
		return true;
	}

	private void publishStatus() {
		LogStatus current = this.log.status(nowNanos());
		this.status = current;
		if (current.role() != this.lastLoggedRole) {
			this.lastLoggedRole = current.role();
			LOG.infof("%s: the role is now %s in term %s", this.name, current.role(), current.term());
		}
		if (current.role() != Role.LEADER && !this.proposals.isEmpty()) {
			this.proposals.completeAll("the replica is no longer the leader");
		}
	}

	private void completePending() {
		this.proposals.completeAll("the replica is closed");
		this.reads.completeAll(unconfirmedRead());
		this.inputs.terminate();
	}

}
