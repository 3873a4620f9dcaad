package org.vanillatrestle.internal.once;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.vanillatrestle.OnceKey;
import org.vanillatrestle.VmId;

/**
 * The ledger's record of one key.
 * <p>
 * Immutable and thread safe.
 *
 * @param key the key
 * @param state the state of the call
 * @param claim the claim that was granted last, or empty if there is none or it was
 * released
 * @param answer the stored answer, or empty if none is stored
 * @param released the released attempts, which must not be granted again, in the order of
 * their release; at most the last 8
 * @param changedAtMillis the ledger time at which the state last changed, in milliseconds
 */
public record OnceRecord(OnceKey key, OnceState state, Optional<GrantedClaim> claim, Optional<StoredAnswer> answer,
		List<AttemptId> released, long changedAtMillis) {

	private static final int MAX_RELEASED_ATTEMPTS = 8;

	public OnceRecord {
		released = List.copyOf(released);
	}

	static OnceRecord granted(LedgerCommand.Claim command, List<AttemptId> released, long nowMillis) {
		GrantedClaim grantedClaim = new GrantedClaim(command.attempt(), command.digest(), command.holder(),
				command.holderIncarnation());
		return new OnceRecord(command.key(), OnceState.IN_PROGRESS, Optional.of(grantedClaim), Optional.empty(),
				released, nowMillis);
	}

	static OnceRecord releasedBeforeClaim(OnceKey key, AttemptId attempt, long nowMillis) {
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
		return new OnceRecord(this.key, OnceState.RELEASED, Optional.empty(), Optional.empty(), appendReleased(attempt),
				nowMillis);
	}

	OnceRecord withReleasedAttempt(AttemptId attempt) {
		return new OnceRecord(this.key, this.state, this.claim, this.answer, appendReleased(attempt),
				this.changedAtMillis);
	}

	private List<AttemptId> appendReleased(AttemptId attempt) {
		if (this.released.contains(attempt)) {
			return this.released;
		}
		int from = Math.max(0, this.released.size() + 1 - MAX_RELEASED_ATTEMPTS);
		List<AttemptId> attempts = new ArrayList<>(this.released.subList(from, this.released.size()));
		attempts.add(attempt);
		return attempts;
	}

	/**
	 * A granted claim.
	 *
	 * @param attempt the attempt that holds the claim
	 * @param digest the digest of the call
	 * @param holder the VM that runs the attempt
	 * @param holderIncarnation the incarnation of that VM
	 */
	public record GrantedClaim(AttemptId attempt, RequestDigest digest, VmId holder, long holderIncarnation) {

	}

}
