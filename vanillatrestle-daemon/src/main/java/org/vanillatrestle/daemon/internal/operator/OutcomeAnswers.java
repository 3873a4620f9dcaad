package org.vanillatrestle.daemon.internal.operator;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.internal.book.BookOutcome;
import org.vanillatrestle.internal.contract.ContractWriter;
import org.vanillatrestle.wire.BookCommandCodec;
import org.vanillatrestle.wire.MalformedStateException;

/**
 * Converts the result of a proposed change to a response for the operator.
 * <p>
 * Stateless and thread safe. A change that may still come into force is never reported as
 * refused.
 */
final class OutcomeAnswers {

	private OutcomeAnswers() {
	}

	static OperatorAnswer answer(CustomerId customer, ProposalResult proposal) {
		if (proposal instanceof ProposalResult.Applied applied) {
			return answer(customer, applied.reply());
		}
		if (proposal instanceof ProposalResult.NotAccepted notTaken) {
			OperatorAnswer answer = OperatorAnswer.error(503, "NOT_TAKEN",
					"This VM is not the leader of the contract book. The change was not accepted; send it again.");
			notTaken.leader().ifPresent((leader) -> answer.with("leader", leader));
			return answer;
		}
		if (proposal instanceof ProposalResult.TooFewVoters few) {
			return OperatorAnswer.error(503, "TOO_FEW_VOTERS",
					"This VM knows of " + few.voters() + " voters of the contract book, and changes need "
							+ few.required() + ". The change was not accepted; start every VM with the role CONTROL,"
							+ " then send it again.");
		}
		return unknown(((ProposalResult.Unknown) proposal).reason());
	}

	private static OperatorAnswer answer(CustomerId customer, byte[] reply) {
		try {
			return answer(customer, BookCommandCodec.decodeOutcome(reply));
		}
		catch (MalformedStateException ex) {
			return unknown("the replica's reply can't be decoded");
		}
	}

	private static OperatorAnswer unknown(String reason) {
		return OperatorAnswer.error(504, "OUTCOME_UNKNOWN", "It is unknown whether the change is in force: " + reason
				+ ". Read the contract, or send the same change again.");
	}

	private static OperatorAnswer answer(CustomerId customer, BookOutcome outcome) {
		if (outcome instanceof BookOutcome.Accepted accepted) {
			return inForce("ACCEPTED", customer, accepted.revision(), accepted.index());
		}
		if (outcome instanceof BookOutcome.Repeated repeated) {
			return inForce("REPEATED", customer, repeated.revision(), repeated.index());
		}
		if (outcome instanceof BookOutcome.Conflict conflict) {
			return conflict(conflict);
		}
		BookOutcome.Invalid invalid = (BookOutcome.Invalid) outcome;
		return OperatorAnswer.error(400, "CONTRACT_INVALID", invalid.path() + ": " + invalid.reason())
			.with("path", invalid.path());
	}

	private static OperatorAnswer inForce(String outcome, CustomerId customer, long revision, long index) {
		ObjectNode body = JsonNodeFactory.instance.objectNode();
		body.put("outcome", outcome);
		body.put("customer", customer.value());
		body.put("revision", revision);
		body.put("index", index);
		return new OperatorAnswer(200, body);
	}

	private static OperatorAnswer conflict(BookOutcome.Conflict conflict) {
		OperatorAnswer answer = OperatorAnswer.error(409, "REVISION_CONFLICT", conflict.reason());
		answer.with("revisionInForce", conflict.revision());
		conflict.inForce().ifPresent((contract) -> answer.body().set("inForce", ContractWriter.toNode(contract)));
		return answer;
	}

}
