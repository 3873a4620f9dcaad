package org.vanillatrestle.daemon.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import org.vanillatrestle.Contract;
import org.vanillatrestle.Contracts;
import org.vanillatrestle.InvalidDocumentException;

/**
 * Applies contracts one at a time and determines the outcome of each.
 * <p>
 * Not thread safe. A contract that is already in force is not sent, so that a directory
 * can be applied again at low cost. If the response to a change is lost, the applier
 * queries which revision is in force.
 */
final class ContractApplier {

	private final OperatorClient client;

	ContractApplier(OperatorClient client) {
		this.client = client;
	}

	ApplyResult apply(Contract contract) throws CommandException {
		if (isInForce(contract)) {
			return new ApplyResult(ApplyResult.Kind.UNCHANGED, "");
		}
		ClientResponse response;
		try {
			response = this.client.change("PUT", path(contract), Contracts.write(contract));
		}
		catch (CommandException ex) {
			return resultWithoutResponse(contract, ex);
		}
		return resultOfResponse(contract, response);
	}

	private ApplyResult resultWithoutResponse(Contract contract, CommandException exception) {
		if (exception.exitCode() == ExitCode.UNREACHABLE) {
			return new ApplyResult(ApplyResult.Kind.NOT_SENT, exception.getMessage());
		}
		if (isKnownToBeInForce(contract)) {
			return new ApplyResult(ApplyResult.Kind.ACCEPTED, "found in force after its response was lost");
		}
		return new ApplyResult(ApplyResult.Kind.UNKNOWN, exception.getMessage());
	}

	private ApplyResult resultOfResponse(Contract contract, ClientResponse response) {
		if (response.exitCode() == ExitCode.INVALID) {
			return new ApplyResult(ApplyResult.Kind.INVALID, response.body().path("message").asText());
		}
		if (!response.isOk()) {
			return new ApplyResult(ApplyResult.Kind.REFUSED, response.body().path("message").asText());
		}
		if ("ACCEPTED".equals(response.body().path("outcome").asText())) {
			return new ApplyResult(ApplyResult.Kind.ACCEPTED, "");
		}
		return resultOfRepeatedChange(contract);
	}

	private ApplyResult resultOfRepeatedChange(Contract contract) {
		long revisionInForce;
		try {
			revisionInForce = this.client.get(path(contract)).body().path("revision").asLong();
		}
		catch (CommandException ex) {
			return new ApplyResult(ApplyResult.Kind.UNCHANGED, "was already accepted; " + ex.getMessage());
		}
		if (revisionInForce > contract.revision()) {
			return new ApplyResult(ApplyResult.Kind.REFUSED,
					"was already accepted, but revision " + revisionInForce + " is in force now");
		}
		return new ApplyResult(ApplyResult.Kind.UNCHANGED, "");
	}

	private boolean isKnownToBeInForce(Contract contract) {
		try {
			return isInForce(contract);
		}
		catch (CommandException ex) {
			return false;
		}
	}

	private boolean isInForce(Contract contract) throws CommandException {
		ClientResponse response = this.client.get(path(contract));
		if (response.status() == 401) {
			throw response.toException();
		}
		JsonNode document = response.body().path("contract");
		if (!response.isOk() || !response.body().path("latest").asBoolean() || !document.isObject()) {
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
