package org.vanillatrestle.internal.once;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.vanillatrestle.OnceKey;
import org.vanillatrestle.VmId;

/**
 * What the ledger knows of one key.
 * <p>
 * Immutable and thread safe.
 *
 * @param key the key
 * @param state how far the call has come
 * @param claim the claim that was granted last, empty if none was
 * @param answer the stored answer, if there is one
 * @param released attempts that were released and must not be granted again, the latest
 * last
 * @param changedAtMillis when the record last changed, in milliseconds of the ledger's
 * own time
 */
public record OnceRecord(OnceKey key, OnceState state, Optional<Holding> claim, Optional<StoredAnswer> answer,
		List<AttemptId> released, long changedAtMillis) {

	private static final int MAX_RELEASED = 8;

	public OnceRecord {
		released = List.copyOf(released);
	}

	static OnceRecord granted(LedgerCommand.Claim command, List<AttemptId> released, long nowMillis) {
		Holding holding = new Holding(command.attempt(), command.digest(), command.holder(),
				command.holderIncarnation());
		return new OnceRecord(command.key(), OnceState.IN_PROGRESS, Optional.of(holding), Optional.empty(), released,
				nowMillis);
	}

	static OnceRecord withdrawn(OnceKey key, AttemptId attempt, long nowMillis) {
		return new OnceRecord(key, OnceState.RELEASED, Optional.empty(), Optional.empty(), List.of(attempt), nowMillis);
	}

	boolean isHeldBy(AttemptId attempt) {
		return this.claim.isPresent() && this.claim.get().attempt().equals(attempt);
	}

	OnceRecord answered(Optional<StoredAnswer> storedAnswer, long nowMillis) {
		return new OnceRecord(this.key, OnceState.ANSWERED, this.claim, storedAnswer, this.released, nowMillis);
	}

	OnceRecord abandoned(long nowMillis) {
		return new OnceRecord(this.key, OnceState.ABANDONED, this.claim, Optional.empty(), this.released, nowMillis);
	}

	OnceRecord released(AttemptId attempt, long nowMillis) {
		return new OnceRecord(this.key, OnceState.RELEASED, Optional.empty(), Optional.empty(), withReleased(attempt),
				nowMillis);
	}

	OnceRecord remembering(AttemptId attempt) {
		return new OnceRecord(this.key, this.state, this.claim, this.answer, withReleased(attempt),
				this.changedAtMillis);
	}

	private List<AttemptId> withReleased(AttemptId attempt) {
		if (this.released.contains(attempt)) {
			return this.released;
		}
		int from = Math.max(0, this.released.size() + 1 - MAX_RELEASED);
		List<AttemptId> attempts = new ArrayList<>(this.released.subList(from, this.released.size()));
		attempts.add(attempt);
		return attempts;
	}

	/**
	 * A claim that was granted.
	 *
	 * @param attempt the attempt that holds it
	 * @param digest the digest of the call
	 * @param holder the VM that runs the attempt
	 * @param holderIncarnation the VM's incarnation
	 */
	public record Holding(AttemptId attempt, BodyDigest digest, VmId holder, long holderIncarnation) {

	}

}
