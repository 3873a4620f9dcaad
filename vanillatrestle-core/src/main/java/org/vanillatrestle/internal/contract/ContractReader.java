package org.vanillatrestle.internal.contract;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import org.vanillatrestle.CallRule;
import org.vanillatrestle.Caller;
import org.vanillatrestle.CallerName;
import org.vanillatrestle.Contract;
import org.vanillatrestle.ContractService;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.InvalidDocumentException;
import org.vanillatrestle.ModelName;
import org.vanillatrestle.Objective;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.Repeat;
import org.vanillatrestle.ServiceKind;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.internal.json.JsonObject;

/**
 * Reads a contract from JSON and validates the whole document.
 * <p>
 * Stateless and thread safe.
 */
public final class ContractReader {

	private static final Pattern SHA_256_HEX = Pattern.compile("[0-9a-f]{64}");

	private static final Pattern HTTP_METHOD = Pattern.compile("[A-Z]{3,20}");

	private static final Set<String> RESERVED_SERVICE_NAMES = Set.of("v1", "metrics", "health");

	private static final long MAX_RATE_PER_SECOND = 1_000_000_000L;

	private static final int MAX_IN_FLIGHT_REQUESTS = 10_000_000;

	private static final long MAX_DEADLINE_MILLIS = 24 * 60 * 60 * 1000L;

	private ContractReader() {
	}

	/**
	 * Reads a contract.
	 * @param json the JSON document
	 * @return the contract
	 * @throws InvalidDocumentException if the document is invalid
	 */
	public static Contract read(String json) throws InvalidDocumentException {
		JsonObject document = JsonObject.parse(json);
		CustomerId customer = new CustomerId(document.name("customer"));
		long revision = document.integer("revision", 1, Long.MAX_VALUE);
		Set<RegionId> regions = regions(document);
		Contract contract = Contract.builder(customer, revision)
			.objective(document.constant("objective", Objective.class))
			.allowedRegions(regions)
			.callers(callers(document, regions))
			.services(services(document))
			.build();
		document.rejectUnknownFields();
		return contract;
	}

	private static Set<RegionId> regions(JsonObject document) throws InvalidDocumentException {
		List<String> names = document.names("allowedRegions");
		if (names.isEmpty()) {
			throw new InvalidDocumentException(document.path("allowedRegions"), "at least one region must be allowed");
		}
		return names.stream().map(RegionId::new).collect(Collectors.toUnmodifiableSet());
	}

	private static List<Caller> callers(JsonObject document, Set<RegionId> regions) throws InvalidDocumentException {
		List<Caller> callers = new ArrayList<>();
		Set<String> names = new HashSet<>();
		Set<String> keys = new HashSet<>();
		for (JsonObject item : document.objects("callers")) {
			Caller caller = caller(item, regions);
			requireDistinct(names, caller.name().value(), item.path("name"));
			requireDistinct(keys, caller.keySha256(), item.path("keySha256"));
			callers.add(caller);
		}
		return callers;
	}

	private static Caller caller(JsonObject item, Set<RegionId> regions) throws InvalidDocumentException {
		CallerName name = new CallerName(item.name("name"));
		RegionId home = new RegionId(item.name("home"));
		if (!regions.contains(home)) {
			throw new InvalidDocumentException(item.path("home"),
					"the home region '" + home + "' is not one of the allowed regions");
		}
		String keySha256 = item.string("keySha256");
		if (!SHA_256_HEX.matcher(keySha256).matches()) {
			throw new InvalidDocumentException(item.path("keySha256"),
					"64 hexadecimal digits in lower case are expected, as printed by 'vanillatrestle keys hash'");
		}
		item.rejectUnknownFields();
		return new Caller(name, home, keySha256);
	}

	private static List<ContractService> services(JsonObject document) throws InvalidDocumentException {
		List<ContractService> services = new ArrayList<>();
		Set<String> names = new HashSet<>();
		Set<String> models = new HashSet<>();
		for (JsonObject item : document.objects("services")) {
			ContractService service = service(item);
			requireDistinct(names, service.name().value(), item.path("name"));
			for (ModelName model : service.models()) {
				requireDistinct(models, model.value(), item.path("models"));
			}
			services.add(service);
		}
		return services;
	}

	private static ContractService service(JsonObject item) throws InvalidDocumentException {
		String name = item.name("name");
		if (RESERVED_SERVICE_NAMES.contains(name)) {
			throw new InvalidDocumentException(item.path("name"), "'" + name + "' is reserved; choose another name");
		}
		ServiceKind kind = item.constant("kind", ServiceKind.class);
		ContractService defaults = ContractService.builder(new ServiceName(name), kind).build();
		ContractService service = ContractService.builder(new ServiceName(name), kind)
			.models(models(item, kind))
			.priority((int) item.integer("priority", 0, ContractService.MAX_PRIORITY, defaults.priority()))
			.maxRequestsPerSecond(
					item.integer("maxRequestsPerSecond", 1, MAX_RATE_PER_SECOND, defaults.maxRequestsPerSecond()))
			.maxTokensPerSecond(
					item.integer("maxTokensPerSecond", 1, MAX_RATE_PER_SECOND, defaults.maxTokensPerSecond()))
			.maxInFlight((int) item.integer("maxInFlight", 1, MAX_IN_FLIGHT_REQUESTS, defaults.maxInFlight()))
			.deadlineMillis(item.integer("deadlineMillis", 1, MAX_DEADLINE_MILLIS, defaults.deadlineMillis()))
			.maxSentAwayPercent((int) item.integer("maxSentAwayPercent", 0, 100, defaults.maxSentAwayPercent()))
			.calls(calls(item, kind))
			.build();
		item.rejectUnknownFields();
		return service;
	}

	private static Set<ModelName> models(JsonObject item, ServiceKind kind) throws InvalidDocumentException {
		List<String> names = item.names("models");
		if (kind == ServiceKind.MODEL && names.isEmpty()) {
			throw new InvalidDocumentException(item.path("models"), "a MODEL service needs at least one model");
		}
		if (kind == ServiceKind.PLAIN && !names.isEmpty()) {
			throw new InvalidDocumentException(item.path("models"), "a PLAIN service has no models");
		}
		return names.stream().map(ModelName::new).collect(Collectors.toUnmodifiableSet());
	}

	private static List<CallRule> calls(JsonObject item, ServiceKind kind) throws InvalidDocumentException {
		List<CallRule> rules = new ArrayList<>();
		for (JsonObject call : item.objects("calls")) {
			if (kind == ServiceKind.MODEL) {
				throw new InvalidDocumentException(item.path("calls"), "a MODEL service has no call rules");
			}
			rules.add(call(call));
		}
		return rules;
	}

	private static CallRule call(JsonObject item) throws InvalidDocumentException {
		String method = item.string("method");
		if (!HTTP_METHOD.matcher(method).matches()) {
			throw new InvalidDocumentException(item.path("method"),
					"an HTTP method in upper case is expected, for example POST");
		}
		String path = item.string("path");
		boolean hasInnerWildcard = path.indexOf('*') >= 0 && path.indexOf('*') != path.length() - 1;
		if (!path.startsWith("/") || path.contains("?") || hasInnerWildcard) {
			throw new InvalidDocumentException(item.path("path"),
					"a path begins with / and may end with *, for example /balances/*");
		}
		Repeat repeat = item.constant("repeat", Repeat.class);
		boolean keyRequired = item.bool("keyRequired", true);
		item.rejectUnknownFields();
		return new CallRule(method, path, repeat, keyRequired);
	}

	private static void requireDistinct(Set<String> seen, String value, String path) throws InvalidDocumentException {
		if (!seen.add(value)) {
			throw new InvalidDocumentException(path, "'" + value + "' is given twice");
		}
	}

}
