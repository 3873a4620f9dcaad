package org.vanillatrestle.daemon.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import org.vanillatrestle.Contract;
import org.vanillatrestle.Contracts;
import org.vanillatrestle.InvalidDocumentException;

/**
 * Brings one contract into force and finds out what became of it.
 * <p>
 * To be used by one thread. What is in force already is not sent, so that a directory can
 * be applied again at little cost. After a lost answer it asks what is in force.
 */
final class ContractApplier {

	private final OperatorClient client;

	ContractApplier(OperatorClient client) {
		this.client = client;
	}

	ApplyResult apply(Contract contract) throws CommandFault {
		if (isInForce(contract)) {
			return new ApplyResult(ApplyResult.Kind.UNCHANGED, "");
		}
		ClientAnswer answer;
		try {
			answer = this.client.change("PUT", path(contract), Contracts.write(contract));
		}
		catch (CommandFault ex) {
			return notAnswered(contract, ex);
		}
		return answered(contract, answer);
	}

	private ApplyResult notAnswered(Contract contract, CommandFault fault) {
		if (fault.exitCode() == ExitCode.UNREACHABLE) {
			return new ApplyResult(ApplyResult.Kind.NOT_SENT, fault.getMessage());
		}
		if (isInForceIfKnown(contract)) {
			return new ApplyResult(ApplyResult.Kind.ACCEPTED, "found in force after a lost answer");
		}
		return new ApplyResult(ApplyResult.Kind.UNKNOWN, fault.getMessage());
	}

	private ApplyResult answered(Contract contract, ClientAnswer answer) {
		if (answer.exitCode() == ExitCode.INVALID) {
			return new ApplyResult(ApplyResult.Kind.INVALID, answer.body().path("message").asText());
		}
		if (!answer.isOk()) {
			return new ApplyResult(ApplyResult.Kind.REFUSED, answer.body().path("message").asText());
		}
		if ("ACCEPTED".equals(answer.body().path("outcome").asText())) {
			return new ApplyResult(ApplyResult.Kind.ACCEPTED, "");
		}
		return repeated(contract);
	}

	private ApplyResult repeated(Contract contract) {
		long inForce;
		try {
			inForce = this.client.get(path(contract)).body().path("revision").asLong();
		}
		catch (CommandFault ex) {
			return new ApplyResult(ApplyResult.Kind.UNCHANGED, "was accepted before; " + ex.getMessage());
		}
		if (inForce > contract.revision()) {
			return new ApplyResult(ApplyResult.Kind.REFUSED,
					"was accepted before, but revision " + inForce + " is in force now");
		}
		return new ApplyResult(ApplyResult.Kind.UNCHANGED, "");
	}

	private boolean isInForceIfKnown(Contract contract) {
		try {
			return isInForce(contract);
		}
		catch (CommandFault ex) {
			return false;
		}
	}

	private boolean isInForce(Contract contract) throws CommandFault {
		ClientAnswer answer = this.client.get(path(contract));
		if (answer.status() == 401) {
			throw answer.toFault();
		}
		JsonNode document = answer.body().path("contract");
		if (!answer.isOk() || !answer.body().path("latest").asBoolean() || !document.isObject()) {
			return false;
		}
		try {
			return Contracts.parse(document.toString()).equals(contract);
		}
		catch (InvalidDocumentException ex) {
			return false;
		}
	}

	private static String path(Contract contract) {
		return "/v1/contracts/" + contract.customer();
	}

}
