package org.vanillatrestle.wire;

import java.util.Optional;

import org.vanillatrestle.CallerName;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.once.LedgerCommand;
import org.vanillatrestle.internal.once.LedgerOutcome;
import org.vanillatrestle.internal.once.RequestDigest;
import org.vanillatrestle.wire.generated.state.AbandonHolderCalls;
import org.vanillatrestle.wire.generated.state.AnswerCall;
import org.vanillatrestle.wire.generated.state.ClaimCall;
import org.vanillatrestle.wire.generated.state.DropCallerAnswers;
import org.vanillatrestle.wire.generated.state.Empty;
import org.vanillatrestle.wire.generated.state.HeldCall;
import org.vanillatrestle.wire.generated.state.LedgerCommandMessage;
import org.vanillatrestle.wire.generated.state.LedgerOutcomeMessage;
import org.vanillatrestle.wire.generated.state.MayHaveRunReason;
import org.vanillatrestle.wire.generated.state.NotGrantedReason;
import org.vanillatrestle.wire.generated.state.OpenLedger;
import org.vanillatrestle.wire.generated.state.RetireGenerations;
import org.vanillatrestle.wire.generated.state.TickLedger;

/**
 * Writes and reads commands of the once ledger and their outcomes.
 * <p>
 * Stateless and thread safe.
 */
public final class LedgerCommandCodec {

	private LedgerCommandCodec() {
	}

	/**
	 * Writes a command.
	 * @param command the command
	 * @return the bytes
	 */
	public static byte[] encode(LedgerCommand command) {
		LedgerCommandMessage.Builder message = LedgerCommandMessage.newBuilder();
		if (command instanceof LedgerCommand.Claim claim) {
			message.setClaim(write(claim));
		}
		else if (command instanceof LedgerCommand.Answer answer) {
			message.setAnswer(write(answer));
		}
		else if (command instanceof LedgerCommand.Release release) {
			message.setRelease(HeldCall.newBuilder()
				.setKey(LedgerValues.write(release.key()))
				.setAttempt(LedgerValues.write(release.attempt())));
		}
		else if (command instanceof LedgerCommand.Abandon abandon) {
			message.setAbandon(HeldCall.newBuilder()
				.setKey(LedgerValues.write(abandon.key()))
				.setAttempt(LedgerValues.write(abandon.attempt())));
		}
		else {
			writeRare(command, message);
		}
		return message.build().toByteArray();
	}

	private static void writeRare(LedgerCommand command, LedgerCommandMessage.Builder message) {
		if (command instanceof LedgerCommand.Open open) {
			message.setOpen(OpenLedger.newBuilder().setGeneration(open.generation()).setAfterLoss(open.afterLoss()));
		}
		else if (command instanceof LedgerCommand.Tick tick) {
			message.setTick(TickLedger.newBuilder().setElapsedMillis(tick.elapsedMillis()));
		}
		else if (command instanceof LedgerCommand.AbandonHolder abandon) {
			message.setAbandonHolder(AbandonHolderCalls.newBuilder()
				.setHolder(abandon.holder().value())
				.setBelowIncarnation(abandon.belowIncarnation()));
		}
		else if (command instanceof LedgerCommand.Retire retire) {
			message.setRetire(RetireGenerations.newBuilder().setUpToGeneration(retire.upToGeneration()));
		}
		else if (command instanceof LedgerCommand.DropAnswers drop) {
			message.setDropAnswers(DropCallerAnswers.newBuilder()
				.setCustomer(drop.customer().value())
				.setCaller(drop.caller().value()));
		}
	}

	static ClaimCall.Builder write(LedgerCommand.Claim claim) {
		return ClaimCall.newBuilder()
			.setKey(LedgerValues.write(claim.key()))
			.setDigest(LedgerValues.write(claim.digest()))
			.setAttempt(LedgerValues.write(claim.attempt()))
			.setHolder(claim.holder().value())
			.setHolderIncarnation(claim.holderIncarnation());
	}

	private static AnswerCall.Builder write(LedgerCommand.Answer answer) {
		AnswerCall.Builder message = AnswerCall.newBuilder()
			.setKey(LedgerValues.write(answer.key()))
			.setAttempt(LedgerValues.write(answer.attempt()));
		answer.answer().ifPresent((stored) -> message.setAnswer(LedgerValues.write(stored)));
		return message;
	}

	/**
	 * Reads a command.
	 * @param bytes the bytes
	 * @return the command
	 * @throws MalformedStateException if the bytes are no command
	 */
	public static LedgerCommand decodeCommand(byte[] bytes) throws MalformedStateException {
		return StateDecoder.decode(bytes, LedgerCommandMessage.parser(), LedgerCommandCodec::read);
	}

	private static LedgerCommand read(LedgerCommandMessage message) {
		return switch (message.getCommandCase()) {
			case CLAIM -> read(message.getClaim());
			case ANSWER -> read(message.getAnswer());
			case RELEASE -> new LedgerCommand.Release(LedgerValues.read(message.getRelease().getKey()),
					LedgerValues.read(message.getRelease().getAttempt()));
			case ABANDON -> new LedgerCommand.Abandon(LedgerValues.read(message.getAbandon().getKey()),
					LedgerValues.read(message.getAbandon().getAttempt()));
			case OPEN -> new LedgerCommand.Open(message.getOpen().getGeneration(), message.getOpen().getAfterLoss());
			case TICK -> new LedgerCommand.Tick(message.getTick().getElapsedMillis());
			case ABANDON_HOLDER -> new LedgerCommand.AbandonHolder(new VmId(message.getAbandonHolder().getHolder()),
					message.getAbandonHolder().getBelowIncarnation());
			case RETIRE -> new LedgerCommand.Retire(message.getRetire().getUpToGeneration());
			case DROP_ANSWERS -> new LedgerCommand.DropAnswers(new CustomerId(message.getDropAnswers().getCustomer()),
					new CallerName(message.getDropAnswers().getCaller()));
			default -> throw StateDecoder.unknown("ledger command");
		};
	}

	static LedgerCommand.Claim read(ClaimCall message) {
		return new LedgerCommand.Claim(LedgerValues.read(message.getKey()),
				RequestDigest.of(message.getDigest().toByteArray()), LedgerValues.read(message.getAttempt()),
				new VmId(message.getHolder()), message.getHolderIncarnation());
	}

	private static LedgerCommand read(AnswerCall message) {
		return new LedgerCommand.Answer(LedgerValues.read(message.getKey()), LedgerValues.read(message.getAttempt()),
				message.hasAnswer() ? Optional.of(LedgerValues.read(message.getAnswer())) : Optional.empty());
	}

	/**
	 * Writes an outcome.
	 * @param outcome the outcome
	 * @return the bytes
	 */
	public static byte[] encode(LedgerOutcome outcome) {
		LedgerOutcomeMessage.Builder message = LedgerOutcomeMessage.newBuilder();
		if (outcome instanceof LedgerOutcome.Granted) {
			message.setGranted(Empty.getDefaultInstance());
		}
		else if (outcome instanceof LedgerOutcome.AlreadyAnswered answered) {
			message.setAlreadyAnswered(LedgerValues.write(answered.answer()));
		}
		else if (outcome instanceof LedgerOutcome.AnsweredWithoutCopy) {
			message.setAnsweredWithoutCopy(Empty.getDefaultInstance());
		}
		else if (outcome instanceof LedgerOutcome.InProgress inProgress) {
			message.setInProgress(LedgerValues.write(inProgress.holder()));
		}
		else if (outcome instanceof LedgerOutcome.DifferentRequest) {
			message.setDifferentBody(Empty.getDefaultInstance());
		}
		else if (outcome instanceof LedgerOutcome.MayHaveRun mayHaveRun) {
			message.setMayHaveRun(MayHaveRunReason.valueOf(mayHaveRun.reason().name()));
		}
		else if (outcome instanceof LedgerOutcome.NotGranted notGranted) {
			message.setNotGranted(NotGrantedReason.valueOf(notGranted.reason().name()));
		}
		else if (outcome instanceof LedgerOutcome.Done) {
			message.setDone(Empty.getDefaultInstance());
		}
		else {
			message.setIgnored(Empty.getDefaultInstance());
		}
		return message.build().toByteArray();
	}

	/**
	 * Reads an outcome.
	 * @param bytes the bytes
	 * @return the outcome
	 * @throws MalformedStateException if the bytes are no outcome
	 */
	public static LedgerOutcome decodeOutcome(byte[] bytes) throws MalformedStateException {
		return StateDecoder.decode(bytes, LedgerOutcomeMessage.parser(), LedgerCommandCodec::read);
	}

	private static LedgerOutcome read(LedgerOutcomeMessage message) {
		return switch (message.getOutcomeCase()) {
			case GRANTED -> new LedgerOutcome.Granted();
			case ALREADY_ANSWERED -> new LedgerOutcome.AlreadyAnswered(LedgerValues.read(message.getAlreadyAnswered()));
			case ANSWERED_WITHOUT_COPY -> new LedgerOutcome.AnsweredWithoutCopy();
			case IN_PROGRESS -> new LedgerOutcome.InProgress(LedgerValues.read(message.getInProgress()));
			case DIFFERENT_BODY -> new LedgerOutcome.DifferentRequest();
			case MAY_HAVE_RUN ->
				new LedgerOutcome.MayHaveRun(LedgerOutcome.Reason.valueOf(message.getMayHaveRun().name()));
			case NOT_GRANTED ->
				new LedgerOutcome.NotGranted(LedgerOutcome.Refusal.valueOf(message.getNotGranted().name()));
			case DONE -> new LedgerOutcome.Done();
			case IGNORED -> new LedgerOutcome.Ignored();
			default -> throw StateDecoder.unknown("ledger outcome");
		};
	}

}
