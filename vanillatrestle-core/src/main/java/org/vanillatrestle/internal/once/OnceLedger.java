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
import org.vanillatrestle.internal.once.LedgerOutcome.DifferentRequest;
import org.vanillatrestle.internal.once.LedgerOutcome.Done;
import org.vanillatrestle.internal.once.LedgerOutcome.Granted;
import org.vanillatrestle.internal.once.LedgerOutcome.Ignored;
import org.vanillatrestle.internal.once.LedgerOutcome.InProgress;
import org.vanillatrestle.internal.once.LedgerOutcome.MayHaveRun;
import org.vanillatrestle.internal.once.LedgerOutcome.NotGranted;
import org.vanillatrestle.internal.once.LedgerOutcome.Reason;
import org.vanillatrestle.internal.once.LedgerOutcome.Refusal;

/**
 * State machine of a data centre's once ledger, which grants claims on keys and stores
 * the answers of claimed calls.
 * <p>
 * Deterministic: the same sequence of commands produces the same state and outcomes on
 * every replica. A key is granted to one attempt at a time. It is granted to another
 * attempt only after the holder has released the claim and thereby guaranteed that it
 * sent nothing. If a release is applied before the claim it belongs to, that claim is not
 * granted while the ledger keeps a record of the release. The ledger does not read a
 * clock: ledger time is the sum of all {@linkplain LedgerCommand.Tick ticks}. It never
 * runs ahead of real time, because a change of leader can only lose time. Not thread
 * safe.
 */
public final class OnceLedger {

	private static final long MAX_TICK_MILLIS = 10 * 60 * 1000;

	private final LedgerLimits limits;

	private final ClaimListener listener;

	private final IssuedKeys issuedKeys;

	private final RecordStore store;

	private final Generations generations = new Generations();

	private final EndedHolders endedHolders = new EndedHolders();

	private final ValueInterner interner = new ValueInterner();

	private long appliedIndex;

	private long ledgerMillis;

	private long quarantineUntilMillis;

	private boolean opaqueRecordsExpired;

	/**
	 * Creates an empty ledger that grants no claims until an {@link Open} command is
	 * applied.
	 * @param dataCentre the data centre, whose id is the start of every issued key
	 * @param limits the ledger's limits
	 * @param listener is notified of each settled claim, on the thread that applies the
	 * command
	 */
	public OnceLedger(DataCentreId dataCentre, LedgerLimits limits, ClaimListener listener) {
		this.limits = limits;
		this.listener = listener;
		this.issuedKeys = new IssuedKeys(dataCentre);
		this.store = new RecordStore(this.issuedKeys);
	}

	/**
	 * Applies a committed command.
	 * @param index the command's index in the replicated log, greater than that of the
	 * last applied command
	 * @param command the command
	 * @return the outcome
	 * @throws IllegalArgumentException if the index is not greater than the last one
	 */
	public LedgerOutcome apply(long index, LedgerCommand command) {
		if (index <= this.appliedIndex) {
			throw new IllegalArgumentException(
					"The index " + index + " must be greater than the last applied index " + this.appliedIndex + ".");
		}
		this.appliedIndex = index;
		if (command instanceof Open open) {
			return open(open);
		}
		if (this.generations.isEmpty()) {
			return new NotGranted(Refusal.NOT_OPEN);
		}
		return applyToOpenLedger(command);
	}

	private LedgerOutcome applyToOpenLedger(LedgerCommand command) {
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
			return claimExisting(record.get(), command);
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
		this.store.put(this.interner.intern(OnceRecord.granted(command, released, this.ledgerMillis)));
		return new Granted();
	}

	private static LedgerOutcome claimExisting(OnceRecord record, Claim command) {
		OnceRecord.GrantedClaim grantedClaim = record.claim().orElseThrow();
		if (!grantedClaim.digest().equals(command.digest())) {
			return new DifferentRequest();
		}
		if (record.state() == OnceState.ABANDONED) {
			return new MayHaveRun(Reason.ENDED_WITHOUT_ANSWER);
		}
		if (record.state() == OnceState.ANSWERED) {
			return record.answer().<LedgerOutcome>map(AlreadyAnswered::new).orElseGet(AnsweredWithoutCopy::new);
		}
		return record.isHeldBy(command.attempt()) ? new Granted() : new InProgress(grantedClaim.attempt());
	}

	private LedgerOutcome answer(Answer command) {
		Optional<OnceRecord> record = heldRecord(command.key(), command.attempt());
		if (record.isEmpty()) {
			return new Ignored();
		}
		if (!record.get().state().canBeUpdatedByHolder()) {
			return new Done();
		}
		Optional<StoredAnswer> stored = command.answer().filter(this::hasRoomFor);
		return updateAndNotify(this.interner.intern(record.get().answered(stored, this.ledgerMillis)));
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
			return releaseBeforeClaim(command);
		}
		if (!record.get().isHeldBy(command.attempt())) {
			this.store.put(record.get().withReleasedAttempt(command.attempt()));
			return new Done();
		}
		if (!record.get().state().canBeUpdatedByHolder()) {
			return new Ignored();
		}
		return updateAndNotify(record.get().released(command.attempt(), this.ledgerMillis));
	}

	private LedgerOutcome releaseBeforeClaim(Release command) {
		if (this.store.size() >= this.limits.maxRecords()) {
			return new Ignored();
		}
		this.store.put(OnceRecord.releasedBeforeClaim(command.key(), command.attempt(), this.ledgerMillis));
		return new Done();
	}

	private LedgerOutcome abandon(Abandon command) {
		Optional<OnceRecord> record = heldRecord(command.key(), command.attempt());
		if (record.isEmpty() || !record.get().state().canBeUpdatedByHolder()) {
			return new Ignored();
		}
		return updateAndNotify(record.get().abandoned(this.ledgerMillis));
	}

	private LedgerOutcome abandonHolder(AbandonHolder command) {
		this.endedHolders.markEnded(command.holder(), command.belowIncarnation());
		for (OnceRecord record : this.store.inProgress()) {
			OnceRecord.GrantedClaim grantedClaim = record.claim().orElseThrow();
			if (this.endedHolders.hasEnded(grantedClaim.holder(), grantedClaim.holderIncarnation())) {
				updateAndNotify(record.abandoned(this.ledgerMillis));
			}
		}
		return new Done();
	}

	private LedgerOutcome updateAndNotify(OnceRecord record) {
		this.store.put(record);
		this.listener.claimSettled(record.key());
		return new Done();
	}

	private LedgerOutcome tick(Tick command) {
		this.ledgerMillis += Math.max(0, Math.min(MAX_TICK_MILLIS, command.elapsedMillis()));
		this.generations.openIfDue(this.ledgerMillis, this.limits.generationMillis());
		removeGenerations(this.generations.retireDue(this.ledgerMillis, this.limits.retentionMillis()));
		if (this.store.removeExpiredOpaque(this.ledgerMillis - this.limits.retentionMillis())) {
			this.opaqueRecordsExpired = true;
		}
		return new Done();
	}

	private void removeGenerations(List<Long> numbers) {
		for (long number : numbers) {
			Collection<OnceRecord> removed = this.store.removeGeneration(number);
			removed.stream()
				.filter((record) -> record.state() == OnceState.IN_PROGRESS)
				.forEach((record) -> this.listener.claimSettled(record.key()));
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

	private Optional<OnceRecord> heldRecord(OnceKey key, AttemptId attempt) {
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
	 * Returns what this replica knows about a key. A replica that has not yet applied all
	 * committed commands may know less than others.
	 * @param key the key
	 * @return the status
	 */
	public KeyStatus status(OnceKey key) {
		Optional<OnceRecord> record = this.store.get(key);
		if (record.isEmpty() || record.get().state() == OnceState.RELEASED) {
			boolean mayHaveExpired = isRetired(key) || isQuarantined(key)
					|| (record.isEmpty() && this.opaqueRecordsExpired && this.store.generation(key).isEmpty());
			return status(mayHaveExpired ? KeyStatus.Knowledge.FORGOTTEN : KeyStatus.Knowledge.NO_ATTEMPT);
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
	 * Returns the prefix with which callers form new keys.
	 * @return the prefix, or empty while the ledger is not open
	 */
	public Optional<String> issuedPrefix() {
		if (this.generations.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(this.issuedKeys.prefix(this.generations.current().number()));
	}

	/**
	 * Returns the log index of the last applied command.
	 * @return the index, or 0 if no command has been applied
	 */
	public long appliedIndex() {
		return this.appliedIndex;
	}

	/**
	 * Returns the number of stored records.
	 * @return the number of records
	 */
	public int size() {
		return this.store.size();
	}

	/**
	 * Returns the total size of the stored answers.
	 * @return the size, in bytes
	 */
	public long answersBytes() {
		return this.store.answersBytes();
	}

	/**
	 * Returns a copy of the whole state.
	 * @return the snapshot
	 */
	public OnceSnapshot snapshot() {
		return new OnceSnapshot(this.appliedIndex, this.ledgerMillis, this.quarantineUntilMillis,
				this.opaqueRecordsExpired, this.generations.toList(), this.endedHolders.toList(), this.store.all());
	}

	/**
	 * Replaces the whole state. The listener is notified of every claim that was in
	 * progress before.
	 * @param snapshot the new state
	 */
	public void restore(OnceSnapshot snapshot) {
		List<OnceRecord> previouslyInProgress = new ArrayList<>(this.store.inProgress());
		this.store.clear();
		this.appliedIndex = snapshot.appliedIndex();
		this.ledgerMillis = snapshot.ledgerMillis();
		this.quarantineUntilMillis = snapshot.quarantineUntilMillis();
		this.opaqueRecordsExpired = snapshot.opaqueRecordsExpired();
		this.generations.restore(snapshot.generations());
		this.endedHolders.restore(snapshot.holders());
		snapshot.records().forEach((record) -> this.store.put(this.interner.intern(record)));
		previouslyInProgress.forEach((record) -> this.listener.claimSettled(record.key()));
	}

}
