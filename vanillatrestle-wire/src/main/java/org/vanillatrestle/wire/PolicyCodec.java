package org.vanillatrestle.wire;

import java.util.HashMap;
import java.util.Map;

import com.google.protobuf.InvalidProtocolBufferException;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.internal.limits.LimitMessage;
import org.vanillatrestle.internal.limits.LimitShare;
import org.vanillatrestle.wire.generated.policy.InFlight;
import org.vanillatrestle.wire.generated.policy.LoanAnswer;
import org.vanillatrestle.wire.generated.policy.LoanRequest;
import org.vanillatrestle.wire.generated.policy.PolicyMessage;
import org.vanillatrestle.wire.generated.policy.Share;
import org.vanillatrestle.wire.generated.policy.TargetInFlight;

/**
 * The bytes of messages on shares of limits and on requests in flight.
 * <p>
 * Stateless and thread safe. Bytes that are no message, or break a rule of its types,
 * raise a {@link PeerException}.
 */
public final class PolicyCodec {

	private PolicyCodec() {
	}

	/**
	 * Writes a message on shares of limits.
	 * @param message the message
	 * @return its bytes
	 */
	public static byte[] encode(LimitMessage message) {
		PolicyMessage.Builder builder = PolicyMessage.newBuilder();
		if (message instanceof LimitMessage.LoanRequest request) {
			builder.setLoanRequest(LoanRequest.newBuilder()
				.setCustomer(request.customer().value())
				.setService(request.service().value())
				.setRevision(request.revision())
				.setIncarnation(request.incarnation())
				.setSequence(request.sequence())
				.setWanted(share(request.wanted()))
				.setKept(share(request.kept())));
		}
		else if (message instanceof LimitMessage.LoanAnswer answer) {
			builder.setLoanAnswer(LoanAnswer.newBuilder()
				.setCustomer(answer.customer().value())
				.setService(answer.service().value())
				.setIncarnation(answer.incarnation())
				.setSequence(answer.sequence())
				.setGranted(share(answer.granted())));
		}
		else if (message instanceof LimitMessage.Hello hello) {
			builder.setHello(hello.incarnation());
		}
		else if (message instanceof LimitMessage.HelloAnswer hello) {
			builder.setHelloAnswer(hello.incarnation());
		}
		return builder.build().toByteArray();
	}

	/**
	 * Writes the requests in flight of a VM.
	 * @param inFlight requests by target
	 * @return their bytes
	 */
	public static byte[] encode(Map<TargetId, Integer> inFlight) {
		InFlight.Builder builder = InFlight.newBuilder();
		inFlight.forEach((target, requests) -> builder
			.addTargets(TargetInFlight.newBuilder().setTarget(target.value()).setRequests(requests)));
		return PolicyMessage.newBuilder().setInFlight(builder).build().toByteArray();
	}

	/**
	 * Reads a message and hands it to a visitor.
	 * @param bytes its bytes
	 * @param visitor takes the message
	 * @throws PeerException if the bytes are no such message
	 */
	public static void decode(byte[] bytes, Visitor visitor) throws PeerException {
		try {
			PolicyMessage message = PolicyMessage.parseFrom(bytes);
			switch (message.getKindCase()) {
				case LOAN_REQUEST -> visitor.limits(request(message.getLoanRequest()));
				case LOAN_ANSWER -> visitor.limits(answer(message.getLoanAnswer()));
				case HELLO -> visitor.limits(new LimitMessage.Hello(message.getHello()));
				case HELLO_ANSWER -> visitor.limits(new LimitMessage.HelloAnswer(message.getHelloAnswer()));
				case IN_FLIGHT -> visitor.inFlight(inFlight(message.getInFlight()));
				case KIND_NOT_SET -> throw new IllegalArgumentException("the message has no kind");
			}
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			throw MembershipCodec.malformed("policy message", ex);
		}
	}

	private static LimitMessage.LoanRequest request(LoanRequest request) {
		return new LimitMessage.LoanRequest(new CustomerId(request.getCustomer()),
				new ServiceName(request.getService()), request.getRevision(), request.getIncarnation(),
				request.getSequence(), share(request.getWanted()), share(request.getKept()));
	}

	private static LimitMessage.LoanAnswer answer(LoanAnswer answer) {
		return new LimitMessage.LoanAnswer(new CustomerId(answer.getCustomer()), new ServiceName(answer.getService()),
				answer.getIncarnation(), answer.getSequence(), share(answer.getGranted()));
	}

	private static Map<TargetId, Integer> inFlight(InFlight message) {
		Map<TargetId, Integer> result = new HashMap<>();
		message.getTargetsList()
			.forEach((target) -> result.put(new TargetId(target.getTarget()), Math.max(0, target.getRequests())));
		return result;
	}

	private static Share share(LimitShare share) {
		return Share.newBuilder()
			.setMilliRequestsPerSecond(share.milliRequestsPerSecond())
			.setTokensPerSecond(share.tokensPerSecond())
			.setInFlight(share.inFlight())
			.build();
	}

	private static LimitShare share(Share share) {
		return new LimitShare(share.getMilliRequestsPerSecond(), share.getTokensPerSecond(), share.getInFlight());
	}

	/**
	 * Takes messages that were read.
	 */
	public interface Visitor {

		/**
		 * Takes a message on shares of limits.
		 * @param message the message
		 */
		void limits(LimitMessage message);

		/**
		 * Takes another VM's requests in flight.
		 * @param inFlight requests by target
		 */
		void inFlight(Map<TargetId, Integer> inFlight);

	}

}
