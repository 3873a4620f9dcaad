package org.vanillatrestle.wire;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeSet;
import java.util.stream.Collectors;

import com.google.protobuf.InvalidProtocolBufferException;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.internal.declaration.DeclarationCommand;
import org.vanillatrestle.internal.declaration.DeclaredState;
import org.vanillatrestle.wire.generated.fleet.DeclarationCall;
import org.vanillatrestle.wire.generated.fleet.DeclarationCommandMessage;
import org.vanillatrestle.wire.generated.fleet.DeclarationOutcome;
import org.vanillatrestle.wire.generated.fleet.DeclarationReply;
import org.vanillatrestle.wire.generated.fleet.DeclareMessage;
import org.vanillatrestle.wire.generated.fleet.DeclaredStateMessage;
import org.vanillatrestle.wire.generated.fleet.EvacuateMessage;

/**
 * The bytes of declared state, of its commands, and of calls to the leader.
 * <p>
 * Stateless and thread safe.
 */
public final class DeclarationCodec {

	private DeclarationCodec() {
	}

	/**
	 * Writes a command for the replicated log.
	 * @param command the command
	 * @return the bytes
	 */
	public static byte[] encode(DeclarationCommand command) {
		return message(command).toByteArray();
	}

	/**
	 * Reads a command of the replicated log.
	 * @param bytes the bytes
	 * @return the command
	 * @throws MalformedMessageException if the bytes are no command
	 */
	public static DeclarationCommand decodeCommand(byte[] bytes) throws MalformedMessageException {
		try {
			return command(DeclarationCommandMessage.parseFrom(bytes));
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			throw new MalformedMessageException(ex.getMessage(), ex);
		}
	}

	/**
	 * Writes a state.
	 * @param state the state
	 * @return the bytes
	 */
	public static byte[] encode(DeclaredState state) {
		return message(state).toByteArray();
	}

	/**
	 * Reads a state.
	 * @param bytes the bytes
	 * @return the state
	 * @throws MalformedMessageException if the bytes are no state
	 */
	public static DeclaredState decodeState(byte[] bytes) throws MalformedMessageException {
		try {
			return state(DeclaredStateMessage.parseFrom(bytes));
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			throw new MalformedMessageException(ex.getMessage(), ex);
		}
	}

	/**
	 * Writes a call to the leader.
	 * @param command what to propose, empty to read
	 * @return the bytes
	 */
	public static byte[] encodeCall(Optional<DeclarationCommand> command) {
		DeclarationCall.Builder call = DeclarationCall.newBuilder();
		command.ifPresent((present) -> call.setCommand(message(present)));
		return call.build().toByteArray();
	}

	/**
	 * Reads a call to the leader.
	 * @param bytes the bytes
	 * @return what to propose, empty to read
	 * @throws MalformedMessageException if the bytes are no call
	 */
	public static Optional<DeclarationCommand> decodeCall(byte[] bytes) throws MalformedMessageException {
		try {
			DeclarationCall call = DeclarationCall.parseFrom(bytes);
			return call.hasCommand() ? Optional.of(command(call.getCommand())) : Optional.empty();
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			throw new MalformedMessageException(ex.getMessage(), ex);
		}
	}

	/**
	 * Writes the leader's reply.
	 * @param state the state that was confirmed, empty if the call could not be carried
	 * out or its outcome is not known
	 * @return the bytes
	 */
	public static byte[] encodeReply(Optional<DeclaredState> state) {
		DeclarationReply.Builder reply = DeclarationReply.newBuilder()
			.setOutcome(state.isPresent() ? DeclarationOutcome.DONE : DeclarationOutcome.UNAVAILABLE);
		state.ifPresent((present) -> reply.setState(message(present)));
		return reply.build().toByteArray();
	}

	/**
	 * Reads the leader's reply.
	 * @param bytes the bytes
	 * @return the state that was confirmed, empty if the call could not be carried out or
	 * its outcome is not known
	 * @throws MalformedMessageException if the bytes are no reply
	 */
	public static Optional<DeclaredState> decodeReply(byte[] bytes) throws MalformedMessageException {
		try {
			DeclarationReply reply = DeclarationReply.parseFrom(bytes);
			boolean done = reply.getOutcome() == DeclarationOutcome.DONE;
			return done ? Optional.of(state(reply.getState())) : Optional.empty();
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			throw new MalformedMessageException(ex.getMessage(), ex);
		}
	}

	static DeclaredStateMessage message(DeclaredState state) {
		DeclaredStateMessage.Builder message = DeclaredStateMessage.newBuilder()
			.setIndex(state.index())
			.setVersion(state.version())
			.setPackedDocument(DocumentPacking.pack(state.document()));
		state.evacuated().forEach((dataCentre) -> message.addEvacuated(dataCentre.value()));
		return message.build();
	}

	static DeclaredState state(DeclaredStateMessage message) {
		return new DeclaredState(message.getIndex(), message.getVersion(),
				DocumentPacking.unpack(message.getPackedDocument()),
				message.getEvacuatedList()
					.stream()
					.map(DataCentreId::new)
					.collect(Collectors.toCollection(TreeSet::new)));
	}

	private static DeclarationCommandMessage message(DeclarationCommand command) {
		DeclarationCommandMessage.Builder message = DeclarationCommandMessage.newBuilder();
		if (command instanceof DeclarationCommand.Declare declare) {
			message.setDeclare(DeclareMessage.newBuilder()
				.setVersion(declare.version())
				.setPackedDocument(DocumentPacking.pack(declare.document())));
		}
		else if (command instanceof DeclarationCommand.Evacuate evacuate) {
			EvacuateMessage.Builder order = EvacuateMessage.newBuilder()
				.setDataCentre(evacuate.dataCentre().value())
				.setEvacuated(evacuate.evacuated());
			evacuate.expectedIndex().ifPresent(order::setExpectedIndex);
			message.setEvacuate(order);
		}
		return message.build();
	}

	private static DeclarationCommand evacuation(EvacuateMessage message) {
		OptionalLong expectedIndex = message.hasExpectedIndex() ? OptionalLong.of(message.getExpectedIndex())
				: OptionalLong.empty();
		return new DeclarationCommand.Evacuate(new DataCentreId(message.getDataCentre()), message.getEvacuated(),
				expectedIndex);
	}

	private static DeclarationCommand command(DeclarationCommandMessage message) {
		return switch (message.getCommandCase()) {
			case DECLARE -> new DeclarationCommand.Declare(message.getDeclare().getVersion(),
					DocumentPacking.unpack(message.getDeclare().getPackedDocument()));
			case EVACUATE -> evacuation(message.getEvacuate());
			default -> throw new IllegalArgumentException("a command of another version");
		};
	}

}
