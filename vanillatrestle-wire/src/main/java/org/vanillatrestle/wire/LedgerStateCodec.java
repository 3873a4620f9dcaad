package org.vanillatrestle.wire;

import java.util.Optional;

import org.vanillatrestle.OnceKey;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.once.Generation;
import org.vanillatrestle.internal.once.KeyStatus;
import org.vanillatrestle.internal.once.LedgerCommand;
import org.vanillatrestle.internal.once.OnceRecord;
import org.vanillatrestle.internal.once.OnceSnapshot;
import org.vanillatrestle.internal.once.OnceState;
import org.vanillatrestle.internal.once.StoredAnswer;
import org.vanillatrestle.wire.generated.state.ClaimCall;
import org.vanillatrestle.wire.generated.state.EndedHolderMessage;
import org.vanillatrestle.wire.generated.state.GenerationMessage;
import org.vanillatrestle.wire.generated.state.KeyKnowledge;
import org.vanillatrestle.wire.generated.state.KeyStatusMessage;
import org.vanillatrestle.wire.generated.state.LedgerSnapshotMessage;
import org.vanillatrestle.wire.generated.state.OnceKeyMessage;
import org.vanillatrestle.wire.generated.state.OnceRecordMessage;
import org.vanillatrestle.wire.generated.state.OnceStateCode;

/**
 * Writes and reads snapshots of the once ledger, keys and what is known of them.
 * <p>
 * Stateless and thread safe.
 */
public final class LedgerStateCodec {

	private static final String STATE_PREFIX = "ONCE_";

	private static final String KNOWLEDGE_PREFIX = "KEY_";

	private LedgerStateCodec() {
	}

	/**
	 * Writes a snapshot.
	 * @param snapshot the snapshot
	 * @return the bytes
	 */
	public static byte[] encode(OnceSnapshot snapshot) {
		LedgerSnapshotMessage.Builder message = LedgerSnapshotMessage.newBuilder()
			.setAppliedIndex(snapshot.appliedIndex())
			.setLedgerMillis(snapshot.ledgerMillis())
			.setQuarantineUntilMillis(snapshot.quarantineUntilMillis())
			.setOpaqueForgotten(snapshot.opaqueRecordsExpired());
		snapshot.generations().forEach((generation) -> message.addGenerations(write(generation)));
		snapshot.holders().forEach((holder) -> message.addHolders(write(holder)));
		snapshot.records().forEach((record) -> message.addRecords(write(record)));
		return message.build().toByteArray();
	}

	/**
	 * Reads a snapshot.
	 * @param bytes the bytes
	 * @return the snapshot
	 * @throws MalformedStateException if the bytes are no snapshot
	 */
	public static OnceSnapshot decodeSnapshot(byte[] bytes) throws MalformedStateException {
		return StateDecoder.decode(bytes, LedgerSnapshotMessage.parser(),
				(message) -> new OnceSnapshot(message.getAppliedIndex(), message.getLedgerMillis(),
						message.getQuarantineUntilMillis(), message.getOpaqueForgotten(),
						message.getGenerationsList().stream().map(LedgerStateCodec::read).toList(),
						message.getHoldersList().stream().map(LedgerStateCodec::read).toList(),
						message.getRecordsList().stream().map(LedgerStateCodec::read).toList()));
	}

	/**
	 * Writes a key.
	 * @param key the key
	 * @return the bytes
	 */
	public static byte[] encode(OnceKey key) {
		return LedgerValues.write(key).toByteArray();
	}

	/**
	 * Reads a key.
	 * @param bytes the bytes
	 * @return the key
	 * @throws MalformedStateException if the bytes are no key
	 */
	public static OnceKey decodeKey(byte[] bytes) throws MalformedStateException {
		return StateDecoder.decode(bytes, OnceKeyMessage.parser(), LedgerValues::read);
	}

	/**
	 * Writes what is known of a key.
	 * @param status the status
	 * @return the bytes
	 */
	public static byte[] encode(KeyStatus status) {
		KeyStatusMessage.Builder message = KeyStatusMessage.newBuilder()
			.setKnowledge(KeyKnowledge.valueOf(KNOWLEDGE_PREFIX + status.knowledge().name()));
		status.answer().ifPresent((answer) -> message.setAnswer(LedgerValues.write(answer)));
		return message.build().toByteArray();
	}

	/**
	 * Reads what is known of a key.
	 * @param bytes the bytes
	 * @return the status
	 * @throws MalformedStateException if the bytes are no status
	 */
	public static KeyStatus decodeStatus(byte[] bytes) throws MalformedStateException {
		return StateDecoder.decode(bytes, KeyStatusMessage.parser(), LedgerStateCodec::read);
	}

	private static KeyStatus read(KeyStatusMessage message) {
		String name = withoutPrefix(message.getKnowledge().name(), KNOWLEDGE_PREFIX);
		return new KeyStatus(KeyStatus.Knowledge.valueOf(name),
				message.hasAnswer() ? Optional.of(LedgerValues.read(message.getAnswer())) : Optional.empty());
	}

	private static String withoutPrefix(String name, String prefix) {
		return name.startsWith(prefix) ? name.substring(prefix.length()) : name;
	}

	private static GenerationMessage write(Generation generation) {
		return GenerationMessage.newBuilder()
			.setNumber(generation.number())
			.setOpenedAtMillis(generation.openedAtMillis())
			.build();
	}

	private static Generation read(GenerationMessage message) {
		return new Generation(message.getNumber(), message.getOpenedAtMillis());
	}

	private static EndedHolderMessage write(OnceSnapshot.EndedHolder holder) {
		return EndedHolderMessage.newBuilder()
			.setHolder(holder.holder().value())
			.setBelowIncarnation(holder.belowIncarnation())
			.build();
	}

	private static OnceSnapshot.EndedHolder read(EndedHolderMessage message) {
		return new OnceSnapshot.EndedHolder(new VmId(message.getHolder()), message.getBelowIncarnation());
	}

	private static OnceRecordMessage write(OnceRecord record) {
		OnceRecordMessage.Builder message = OnceRecordMessage.newBuilder()
			.setKey(LedgerValues.write(record.key()))
			.setState(OnceStateCode.valueOf(STATE_PREFIX + record.state().name()))
			.setChangedAtMillis(record.changedAtMillis());
		record.claim().ifPresent((holding) -> message.setClaim(write(holding)));
		record.answer().ifPresent((answer) -> message.setAnswer(LedgerValues.write(answer)));
		record.released().forEach((attempt) -> message.addReleased(LedgerValues.write(attempt)));
		return message.build();
	}

	private static ClaimCall write(OnceRecord.GrantedClaim holding) {
		return ClaimCall.newBuilder()
			.setDigest(LedgerValues.write(holding.digest()))
			.setAttempt(LedgerValues.write(holding.attempt()))
			.setHolder(holding.holder().value())
			.setHolderIncarnation(holding.holderIncarnation())
			.build();
	}

	private static OnceRecord read(OnceRecordMessage message) {
		OnceKey key = LedgerValues.read(message.getKey());
		OnceState state = OnceState.valueOf(withoutPrefix(message.getState().name(), STATE_PREFIX));
		if (message.hasClaim() == (state == OnceState.RELEASED)) {
			throw new IllegalArgumentException("a record has a claim unless it is released");
		}
		Optional<StoredAnswer> answer = message.hasAnswer() ? Optional.of(LedgerValues.read(message.getAnswer()))
				: Optional.empty();
		return new OnceRecord(key, state, holding(key, message), answer,
				message.getReleasedList().stream().map(LedgerValues::read).toList(), message.getChangedAtMillis());
	}

	private static Optional<OnceRecord.GrantedClaim> holding(OnceKey key, OnceRecordMessage message) {
		if (!message.hasClaim()) {
			return Optional.empty();
		}
		ClaimCall withKey = message.getClaim().toBuilder().setKey(LedgerValues.write(key)).build();
		LedgerCommand.Claim claim = LedgerCommandCodec.read(withKey);
		return Optional.of(new OnceRecord.GrantedClaim(claim.attempt(), claim.digest(), claim.holder(),
				claim.holderIncarnation()));
	}

}
