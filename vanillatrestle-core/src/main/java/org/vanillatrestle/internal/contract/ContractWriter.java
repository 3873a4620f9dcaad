package org.vanillatrestle.internal.contract;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.vanillatrestle.CallRule;
import org.vanillatrestle.Caller;
import org.vanillatrestle.Contract;
import org.vanillatrestle.ContractService;

/**
 * Writes a contract as JSON in canonical form: every field is written, and sets are
 * sorted.
 * <p>
 * Stateless and thread safe.
 */
public final class ContractWriter {

	private ContractWriter() {
	}

	/**
	 * Writes a contract.
	 * @param contract the contract
	 * @return the JSON document
	 */
	public static String write(Contract contract) {
		return toNode(contract).toString();
	}

	/**
	 * Converts a contract to a JSON tree.
	 * @param contract the contract
	 * @return the tree
	 */
	public static ObjectNode toNode(Contract contract) {
		ObjectNode document = JsonNodeFactory.instance.objectNode();
		document.put("customer", contract.customer().value());
		document.put("revision", contract.revision());
		document.put("objective", contract.objective().name());
		ArrayNode regions = document.putArray("allowedRegions");
		contract.allowedRegions().stream().sorted().forEach((region) -> regions.add(region.value()));
		ArrayNode callers = document.putArray("callers");
		contract.callers().forEach((caller) -> writeCaller(callers.addObject(), caller));
		ArrayNode services = document.putArray("services");
		contract.services().forEach((service) -> writeService(services.addObject(), service));
		return document;
	}

	private static void writeCaller(ObjectNode node, Caller caller) {
		node.put("name", caller.name().value());
		node.put("home", caller.homeRegion().value());
		node.put("keySha256", caller.keySha256());
	}

	private static void writeService(ObjectNode node, ContractService service) {
		node.put("name", service.name().value());
		node.put("kind", service.kind().name());
		ArrayNode models = node.putArray("models");
		service.models().stream().sorted().forEach((model) -> models.add(model.value()));
		node.put("priority", service.priority());
		node.put("maxRequestsPerSecond", service.maxRequestsPerSecond());
		node.put("maxTokensPerSecond", service.maxTokensPerSecond());
		node.put("maxInFlight", service.maxInFlight());
		node.put("deadlineMillis", service.deadlineMillis());
		node.put("maxSentAwayPercent", service.maxSentAwayPercent());
		ArrayNode calls = node.putArray("calls");
		service.calls().forEach((rule) -> writeCallRule(calls.addObject(), rule));
	}

	private static void writeCallRule(ObjectNode node, CallRule rule) {
		node.put("method", rule.method());
		node.put("path", rule.path());
		node.put("repeat", rule.repeat().name());
		node.put("keyRequired", rule.keyRequired());
	}

}
