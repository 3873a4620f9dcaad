package org.vanillatrestle.internal.once;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.OnceKey;
import org.vanillatrestle.internal.once.LedgerCommand.Abandon;
import org.vanillatrestle.internal.once.LedgerCommand.AbandonHolder;
import org.vanillatrestle.internal.once.LedgerCommand.Answer;
import org.vanillatrestle.internal.once.LedgerCommand.Claim;
import org.vanillatrestle.internal.once.LedgerCommand.DropAnswers;
import org.vanillatrestle.internal.once.LedgerCommand.Open;
import org.vanillatrestle.internal.once.LedgerCommand.Release;
import org.vanillatrestle.internal.once.LedgerCommand.Retire;
import org.vanillatrestle.internal.once.LedgerCommand.Tick;
import org.vanillatrestle.internal.once.LedgerOutcome.AlreadyAnswered;
import org.vanillatrestle.internal.once.LedgerOutcome.AnsweredWithoutCopy;
import org.vanillatrestle.internal.once.LedgerOutcome.DifferentBody;
import org.vanillatrestle.internal.once.LedgerOutcome.Done;
import org.vanillatrestle.internal.once.LedgerOutcome.Granted;
import org.vanillatrestle.internal.once.LedgerOutcome.Ignored;
import org.vanillatrestle.internal.once.LedgerOutcome.InProgress;
import org.vanillatrestle.internal.once.LedgerOutcome.MayHaveRun;
import org.vanillatrestle.internal.once.LedgerOutcome.NotGranted;
import org.vanillatrestle.internal.once.LedgerOutcome.Reason;
import org.vanillatrestle.internal.once.LedgerOutcome.Refusal;

/**
 * The state machine of a data centre's once ledger.
 * <p>
 * Deterministic: equal commands give equal states and outcomes on every replica. A key is
 * granted to one attempt at a time, and to another one only after the holder released it
 * and vowed that nothing was sent; a release that comes before its claim keeps the claim
 * from being granted. No clock is read: the ledger's own time is the sum of the ticks,
 * which never runs ahead of real time, as a change of leader only loses some. Not thread
 * safe.
 */
public final class OnceLedger {

	private static final long MAX_TICK_MILLIS = 10 * 60 * 1000;

	private final LedgerLimits limits;

	private final SettleListener listener;

	private final IssuedKeys issuedKeys;

	private final RecordStore store;

	private final Generations generations = new Generations();

	private final EndedHolders endedHolders = new EndedHolders();

	private final ValuePool pool = new ValuePool();

	private long appliedIndex;

	private long ledgerMillis;

	private long quarantineUntilMillis;

	private boolean opaqueForgotten;

	/**
	 * Creates a ledger that is not open yet.
	 * @param dataCentre the data centre, which begins each issued key
	 * @param limits the bounds
	 * @param listener is told of settled claims, on the applying thread
	 */
	public OnceLedger(DataCentreId dataCentre, LedgerLimits limits, SettleListener listener) {
		this.limits = limits;
		this.listener = listener;
		this.issuedKeys = new IssuedKeys(dataCentre);
		this.store = new RecordStore(this.issuedKeys);
	}

	/**
	 * Applies a committed command.
	 * @param index the command's index in the replicated log, above the last one
	 * @param command the command
	 * @return the outcome
	 * @throws IllegalArgumentException if the index does not ascend
	 */
	public LedgerOutcome apply(long index, LedgerCommand command) {
		if (index <= this.appliedIndex) {
			throw new IllegalArgumentException(
					"The index " + index + " does not ascend from " + this.appliedIndex + ".");
		}
		this.appliedIndex = index;
		if (command instanceof Open open) {
			return open(open);
		}
		if (this.generations.isEmpty()) {
			return new NotGranted(Refusal.NOT_OPEN);
		}
		return applyOpened(command);
	}

	private LedgerOutcome applyOpened(LedgerCommand command) {
		if (command instanceof Claim claim) {
			return claim(claim);
		}
		if (command instanceof Answer answer) {
			return answer(answer);
		}
		if (command instanceof Release release) {
			return release(release);
		}
		if (command instanceof Abandon abandon) {
			return abandon(abandon);
		}
		if (command instanceof AbandonHolder abandonHolder) {
			return abandonHolder(abandonHolder);
		}
		if (command instanceof Tick tick) {
			return tick(tick);
		}
		if (command instanceof Retire retire) {
			removeGenerations(this.generations.retireUpTo(retire.upToGeneration()));
			return new Done();
		}
		return dropAnswers((DropAnswers) command);
	}

	private LedgerOutcome open(Open command) {
		if (!this.generations.isEmpty()) {
			return new Ignored();
		}
		this.generations.open(command.generation(), this.ledgerMillis);
		if (command.afterLoss()) {
			this.quarantineUntilMillis = this.ledgerMillis + this.limits.retentionMillis();
		}
		return new Done();
	}

	private LedgerOutcome claim(Claim command) {
		if (isRetired(command.key())) {
			return new MayHaveRun(Reason.RETIRED_GENERATION);
		}
		Optional<OnceRecord> record = this.store.get(command.key());
		if (record.isPresent() && record.get().released().contains(command.attempt())) {
			return new NotGranted(Refusal.RELEASED);
		}
		if (record.isPresent() && record.get().state() != OnceState.RELEASED) {
			return claimAgain(record.get(), command);
		}
		if (isQuarantined(command.key())) {
			return new MayHaveRun(Reason.QUARANTINE);
		}
		if (this.endedHolders.hasEnded(command.holder(), command.holderIncarnation())) {
			return new NotGranted(Refusal.HOLDER_ENDED);
		}
		if (record.isEmpty() && this.store.size() >= this.limits.maxRecords()) {
			return new NotGranted(Refusal.FULL);
		}
		List<AttemptId> released = record.map(OnceRecord::released).orElse(List.of());
		this.store.put(this.pool.shared(OnceRecord.granted(command, released, this.ledgerMillis)));
		return new Granted();
	}

	private static LedgerOutcome claimAgain(OnceRecord record, Claim command) {
		OnceRecord.Holding holding = record.claim().orElseThrow();
		if (!holding.digest().equals(command.digest())) {
			return new DifferentBody();
		}
		if (record.state() == OnceState.ABANDONED) {
			return new MayHaveRun(Reason.ENDED_WITHOUT_ANSWER);
		}
		if (record.state() == OnceState.ANSWERED) {
			return record.answer().<LedgerOutcome>map(AlreadyAnswered::new).orElseGet(AnsweredWithoutCopy::new);
		}
		return record.isHeldBy(command.attempt()) ? new Granted() : new InProgress(holding.attempt());
	}

	private LedgerOutcome answer(Answer command) {
		Optional<OnceRecord> record = held(command.key(), command.attempt());
		if (record.isEmpty()) {
			return new Ignored();
		}
		if (!record.get().state().isOpen()) {
			return new Done();
		}
		Optional<StoredAnswer> stored = command.answer().filter(this::hasRoomFor);
		return settle(this.pool.shared(record.get().answered(stored, this.ledgerMillis)));
	}

	private boolean hasRoomFor(StoredAnswer answer) {
		int sizeBytes = answer.sizeBytes();
		return sizeBytes <= this.limits.maxAnswerBytes()
				&& this.store.answersBytes() + sizeBytes <= this.limits.maxAnswersBytes();
	}

	private LedgerOutcome release(Release command) {
		if (isRetired(command.key())) {
			return new Ignored();
		}
		Optional<OnceRecord> record = this.store.get(command.key());
		if (record.isEmpty()) {
			return withdraw(command);
		}
		if (!record.get().isHeldBy(command.attempt())) {
			this.store.put(record.get().remembering(command.attempt()));
			return new Done();
		}
		if (!record.get().state().isOpen()) {
			return new Ignored();
		}
		return settle(record.get().released(command.attempt(), this.ledgerMillis));
	}

	private LedgerOutcome withdraw(Release command) {
		if (this.store.size() >= this.limits.maxRecords()) {
			return new Ignored();
		}
		this.store.put(OnceRecord.withdrawn(command.key(), command.attempt(), this.ledgerMillis));
		return new Done();
	}

	private LedgerOutcome abandon(Abandon command) {
		Optional<OnceRecord> record = held(command.key(), command.attempt());
		if (record.isEmpty() || !record.get().state().isOpen()) {
			return new Ignored();
		}
		return settle(record.get().abandoned(this.ledgerMillis));
	}

	private LedgerOutcome abandonHolder(AbandonHolder command) {
		this.endedHolders.end(command.holder(), command.belowIncarnation());
		for (OnceRecord record : this.store.inProgress()) {
			OnceRecord.Holding holding = record.claim().orElseThrow();
			if (this.endedHolders.hasEnded(holding.holder(), holding.holderIncarnation())) {
				settle(record.abandoned(this.ledgerMillis));
			}
		}
		return new Done();
	}

	private LedgerOutcome settle(OnceRecord record) {
		this.store.put(record);
		this.listener.settled(record.key());
		return new Done();
	}

	private LedgerOutcome tick(Tick command) {
		this.ledgerMillis += Math.max(0, Math.min(MAX_TICK_MILLIS, command.elapsedMillis()));
		this.generations.openIfDue(this.ledgerMillis, this.limits.generationMillis());
		removeGenerations(this.generations.retireDue(this.ledgerMillis, this.limits.retentionMillis()));
		if (this.store.removeOpaque(this.ledgerMillis - this.limits.retentionMillis())) {
			this.opaqueForgotten = true;
		}
		return new Done();
	}

	private void removeGenerations(List<Long> numbers) {
		for (long number : numbers) {
			Collection<OnceRecord> removed = this.store.removeGeneration(number);
			removed.stream()
				.filter((record) -> record.state() == OnceState.IN_PROGRESS)
				.forEach((record) -> this.listener.settled(record.key()));
		}
	}

	private LedgerOutcome dropAnswers(DropAnswers command) {
		for (OnceRecord record : this.store.all()) {
			OnceKey key = record.key();
			if (record.answer().isPresent() && key.customer().equals(command.customer())
					&& key.caller().equals(command.caller())) {
				this.store.put(record.answered(Optional.empty(), record.changedAtMillis()));
			}
		}
		return new Done();
	}

	private Optional<OnceRecord> held(OnceKey key, AttemptId attempt) {
		return this.store.get(key).filter((record) -> record.isHeldBy(attempt));
	}

	private boolean isRetired(OnceKey key) {
		OptionalLong generation = this.store.generation(key);
		return generation.isPresent() && !this.generations.isLive(generation.getAsLong());
	}

	private boolean isQuarantined(OnceKey key) {
		return this.ledgerMillis < this.quarantineUntilMillis && this.store.generation(key).isEmpty();
	}

	/**
	 * Tells what this replica knows of a key. A replica that is behind may know less than
	 * others.
	 * @param key the key
	 * @return the status
	 */
	public KeyStatus status(OnceKey key) {
		Optional<OnceRecord> record = this.store.get(key);
		if (record.isEmpty() || record.get().state() == OnceState.RELEASED) {
			boolean mayBeForgotten = isRetired(key) || isQuarantined(key)
					|| (record.isEmpty() && this.opaqueForgotten && this.store.generation(key).isEmpty());
			return status(mayBeForgotten ? KeyStatus.Knowledge.FORGOTTEN : KeyStatus.Knowledge.NO_ATTEMPT);
		}
		return switch (record.get().state()) {
			case IN_PROGRESS -> status(KeyStatus.Knowledge.IN_PROGRESS);
			case ABANDONED -> status(KeyStatus.Knowledge.ENDED_WITHOUT_ANSWER);
			default -> record.get().answer().isEmpty() ? status(KeyStatus.Knowledge.ANSWERED_WITHOUT_COPY)
					: new KeyStatus(KeyStatus.Knowledge.ANSWERED, record.get().answer());
		};
	}

	private static KeyStatus status(KeyStatus.Knowledge knowledge) {
		return new KeyStatus(knowledge, Optional.empty());
	}

	/**
	 * Returns the prefix to give to callers for new keys.
	 * @return the prefix, or empty while the ledger is not open
	 */
	public Optional<String> issuedPrefix() {
		if (this.generations.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(this.issuedKeys.prefix(this.generations.current().number()));
	}

	/**
	 * Returns the index of the last command that was applied.
	 * @return the index, 0 if there is none
	 */
	public long appliedIndex() {
		return this.appliedIndex;
	}

	/**
	 * Returns how many records are kept.
	 * @return the number
	 */
	public int size() {
		return this.store.size();
	}

	/**
	 * Returns how much the stored answers take up.
	 * @return the size, in bytes
	 */
	public long answersBytes() {
		return this.store.answersBytes();
	}

	/**
	 * Copies the whole state.
	 * @return the snapshot
	 */
	public OnceSnapshot snapshot() {
		return new OnceSnapshot(this.appliedIndex, this.ledgerMillis, this.quarantineUntilMillis, this.opaqueForgotten,
				this.generations.toList(), this.endedHolders.toList(), this.store.all());
	}

	/**
	 * Replaces the whole state. Whoever waited for a claim is told.
	 * @param snapshot the snapshot
	 */
	public void restore(OnceSnapshot snapshot) {
		List<OnceRecord> waitedFor = new ArrayList<>(this.store.inProgress());
		this.store.clear();
		this.appliedIndex = snapshot.appliedIndex();
		this.ledgerMillis = snapshot.ledgerMillis();
		this.quarantineUntilMillis = snapshot.quarantineUntilMillis();
		this.opaqueForgotten = snapshot.opaqueForgotten();
		this.generations.restore(snapshot.generations());
		this.endedHolders.restore(snapshot.holders());
		snapshot.records().forEach((record) -> this.store.put(this.pool.shared(record)));
		waitedFor.forEach((record) -> this.listener.settled(record.key()));
	}

}
