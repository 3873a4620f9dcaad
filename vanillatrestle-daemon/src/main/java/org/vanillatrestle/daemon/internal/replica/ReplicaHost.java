package org.vanillatrestle.daemon.internal.replica;

import java.io.IOException;
import java.util.Optional;
import java.util.Set;
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
import org.vanillatrestle.wire.LogMessageCodec;
import org.vanillatrestle.wire.MalformedMessageException;

/**
 * Runs one replica: a thread that alone uses the log, its storage and its state machine.
 * <p>
 * Everything that waits when the thread is free is handled together and made durable by
 * one sync. Nothing is acknowledged before that sync. After a failed write or sync the
 * replica takes part in nothing more and its status says why. All public methods may be
 * called by any thread; futures complete on the replica's thread, so what follows them
 * must not block.
 */
public final class ReplicaHost implements AutoCloseable {

	private static final Logger LOG = Logger.getLogger(ReplicaHost.class);

	private static final long HANDOVER_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	private final String name;

	private final LogStorage storage;

	private final StateMachine machine;

	private final ReplicaTransport transport;

	private final ReplicaSettings settings;

	private final InputQueue inputs;

	private final ReplicatedLog log;

	private final AtomicLong waitingBytes = new AtomicLong();

	private final PendingProposals proposals = new PendingProposals();

	private final PendingReads reads = new PendingReads();

	private final Thread thread;

	private final long originNanos = System.nanoTime();

	private volatile LogStatus status;

	private long closeBeganNanos;

	private Role lastRole = Role.FOLLOWER;

	/**
	 * Prepares a replica; it runs after {@link #start()}.
	 * @param name names its thread and its lines in the log, such as "Ledger"
	 * @param storage the open data folder; closed with the replica
	 * @param machine the state machine; used by the replica's thread only
	 * @param transport carries messages to other VMs
	 * @param settings times and limits
	 */
	public ReplicaHost(String name, LogStorage storage, StateMachine machine, ReplicaTransport transport,
			ReplicaSettings settings) {
		this.name = name;
		this.storage = storage;
		this.machine = machine;
		this.transport = transport;
		this.settings = settings;
		this.inputs = new InputQueue(settings.queueLimit());
		long seed = System.nanoTime() ^ ((long) storage.replica().hashCode() << Integer.SIZE);
		this.log = new ReplicatedLog(storage.replica(), settings.log(), storage.recovered(),
				RandomSource.SPLIT_MIX_64.create(seed), nowNanos());
		this.log.setWantedVoters(settings.wantedVoters());
		this.log.setDesiredVoterCount(settings.voterTarget());
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
	 * Takes a message of another replica; drops it when too many inputs wait.
	 * @param from the VM that the message came from, as the transport knows it
	 * @param message the bytes
	 */
	public void receive(VmId from, byte[] message) {
		try {
			LogEnvelope envelope = LogMessageCodec.decode(message);
			if (!envelope.from().vm().equals(from)) {
				LOG.warnf("%s: dropped a message of %s that names %s as its sender", this.name, from,
						envelope.from().vm());
				return;
			}
			this.inputs.submit(() -> this.log.receive(envelope, nowNanos()), () -> {
			});
		}
		catch (MalformedMessageException ex) {
			LOG.warnf("%s: dropped a malformed message of %s", this.name, from);
		}
	}

	/**
	 * Proposes a command.
	 * @param command the command; must not be written to any more
	 * @return what becomes of it; completes with an outcome, never with an exception
	 */
	public CompletableFuture<ProposalOutcome> propose(byte[] command) {
		CompletableFuture<ProposalOutcome> future = new CompletableFuture<>();
		if (this.waitingBytes.addAndGet(command.length) > this.settings.waitingBytesLimit()) {
			this.waitingBytes.addAndGet(-command.length);
			future.complete(new ProposalOutcome.Overloaded());
			return future;
		}
		future.thenRun(() -> this.waitingBytes.addAndGet(-command.length));
		this.inputs.submit(() -> propose(command, future), () -> future.complete(notTaken()));
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

	private ProposalOutcome notTaken() {
		return this.inputs.isClosing() ? new ProposalOutcome.NotLeader(leaderElsewhere())
				: new ProposalOutcome.Overloaded();
	}

	/**
	 * Asks whether the state machine holds everything acknowledged so far.
	 * @return completes on the replica's thread, where the state machine may be read
	 */
	public CompletableFuture<ReadOutcome> confirmRead() {
		CompletableFuture<ReadOutcome> future = new CompletableFuture<>();
		this.inputs.submit(() -> this.reads.add(this.log.requestRead(nowNanos()), future),
				() -> future.complete(notLatest()));
		return future;
	}

	/**
	 * Reads the state machine on the replica's thread. What follows
	 * {@link #confirmRead()} runs there only if it was attached in time; this always
	 * does.
	 * @param <T> what is read
	 * @param reader reads the state machine; must copy what it returns
	 * @return what was read; fails with {@link RejectedExecutionException} if the replica
	 * is closed or too many inputs wait
	 */
	public <T> CompletableFuture<T> read(Function<ReadOutcome, T> reader) {
		CompletableFuture<ReadOutcome> confirmed = new CompletableFuture<>();
		CompletableFuture<T> value = confirmed.thenApply(reader);
		this.inputs.submit(() -> this.reads.add(this.log.requestRead(nowNanos()), confirmed), () -> confirmed
			.completeExceptionally(new RejectedExecutionException("the replica takes no reads now")));
		return value;
	}

	/**
	 * Proposes a command, and reads the state machine on the replica's thread when the
	 * command was applied.
	 * @param <T> what is made of the outcome
	 * @param command the command; must not be written to any more
	 * @param follower makes the result; runs on the replica's thread at least when the
	 * command is committed
	 * @return the result
	 */
	public <T> CompletableFuture<T> propose(byte[] command, Function<ProposalOutcome, T> follower) {
		CompletableFuture<ProposalOutcome> future = new CompletableFuture<>();
		CompletableFuture<T> result = future.thenApply(follower);
		this.inputs.submit(() -> propose(command, future), () -> future.complete(notTaken()));
		return result;
	}

	/**
	 * Removes a replica that is lost for good.
	 * @param replica the replica
	 * @return whether the change was begun; false when another runs, this replica does
	 * not lead, or too few others would remain
	 */
	public CompletableFuture<Boolean> remove(ReplicaId replica) {
		CompletableFuture<Boolean> future = new CompletableFuture<>();
		this.inputs.submit(() -> future.complete(this.log.remove(replica, nowNanos())), () -> future.complete(false));
		return future;
	}

	/**
	 * Changes the VMs that should hold a replica.
	 * @param vms the VMs
	 */
	public void setWantedVoters(Set<VmId> vms) {
		this.inputs.submit(() -> this.log.setWantedVoters(vms), () -> {
		});
	}

	/**
	 * The state as of the last heartbeat or change.
	 * @return the status
	 */
	public LogStatus status() {
		return this.status;
	}

	/**
	 * What was read from disk at the start.
	 * @return the bytes
	 */
	public long recoveredBytes() {
		return this.storage.recoveredBytes();
	}

	/**
	 * Hands leadership over where it can, ends what waits, and closes the storage. Waits
	 * until the thread has ended.
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

	private Optional<VmId> leaderElsewhere() {
		return this.status.leader().map(ReplicaId::vm).filter((vm) -> !vm.equals(this.status.self().vm()));
	}

	private ReadOutcome notLatest() {
		return new ReadOutcome(false, this.status.appliedIndex());
	}

	private long nowNanos() {
		return System.nanoTime() - this.originNanos;
	}

	private void run() {
		try (this.storage) {
			long tickNanos = this.settings.log().heartbeatIntervalNanos() / 2;
			runOnce(0);
			while (!isClosed()) {
				runOnce(tickNanos);
			}
		}
		catch (IOException ex) {
			LOG.errorf(ex, "%s: could not close the data folder", this.name);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (RuntimeException | OutOfMemoryError ex) {
			LOG.errorf(ex, "%s: stopped by a fault", this.name);
			fail(ex);
		}
		finally {
			endWaiting();
		}
	}

	private boolean isClosed() {
		if (!this.inputs.isClosing()) {
			return false;
		}
		if (this.closeBeganNanos == 0) {
			this.closeBeganNanos = nowNanos();
			return !this.log.handOver(nowNanos());
		}
		boolean handedOver = this.log.status(nowNanos()).role() != Role.LEADER;
		return handedOver || nowNanos() - this.closeBeganNanos > HANDOVER_NANOS;
	}

	private void runOnce(long waitNanos) throws InterruptedException {
		this.inputs.run(waitNanos, this.settings.batchLimit());
		this.log.tick(nowNanos());
		carryOut();
		publishStatus();
	}

	private void carryOut() {
		boolean compacted = true;
		while (compacted && carryOutOutputs()) {
			compacted = compactIfDue();
		}
	}

	private boolean carryOutOutputs() {
		Outputs outputs = this.log.takeOutputs();
		while (!outputs.isEmpty()) {
			outputs.messages()
				.forEach((envelope) -> this.transport.send(envelope.to().vm(), LogMessageCodec.encode(envelope)));
			outputs.stateChanges().forEach(this::change);
			outputs.reads().forEach(this.reads::end);
			if (!outputs.writes().isEmpty() && !makeDurable(outputs)) {
				return false;
			}
			outputs = this.log.takeOutputs();
		}
		return true;
	}

	private boolean makeDurable(Outputs outputs) {
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
		LOG.errorf("%s: the replica stops, its storage failed: %s", this.name, cause.getMessage());
		this.log.storageFailed(cause.toString());
		this.proposals.endAll("the storage failed");
		publishStatus();
	}

	private void change(StateChange change) {
		if (change instanceof StateChange.Restore restore) {
			this.machine.restore(restore.snapshot().lastIndex(), restore.snapshot().state());
		}
		else if (change instanceof StateChange.Apply apply) {
			apply(apply.entry());
		}
	}

	private void apply(LogEntry entry) {
		byte[] reply = new byte[0];
		if (entry.body() instanceof EntryBody.Command command) {
			reply = this.machine.apply(entry.index(), command.bytes());
		}
		this.proposals.applied(entry, reply);
	}

	/**
	 * Compacts the log. Only when no output waits: what the log calls applied may else be
	 * ahead of the state machine.
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
		if (current.role() != this.lastRole) {
			this.lastRole = current.role();
			LOG.infof("%s: now %s in term %s", this.name, current.role(), current.term());
		}
		if (current.role() != Role.LEADER && !this.proposals.isEmpty()) {
			this.proposals.endAll("the replica does not lead any more");
		}
	}

	private void endWaiting() {
		this.proposals.endAll("the replica is closed");
		this.reads.endAll(notLatest());
		this.inputs.end();
	}

}
