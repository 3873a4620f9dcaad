package org.vanillatrestle.daemon.internal.operator;

import java.time.DateTimeException;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.Names;
import org.vanillatrestle.internal.book.BookCommand;
import org.vanillatrestle.internal.book.BookEntry;
import org.vanillatrestle.internal.book.ContractBook;
import org.vanillatrestle.internal.book.RevisionRecord;
import org.vanillatrestle.wire.BookCommandCodec;

/**
 * Serves the operators' HTTP interface under {@code /v1/contracts} and {@code /v1/audit}.
 * <p>
 * Thread safe if the gateway and the region status source are. The wall clock is used
 * only for audit records and for times in responses.
 */
public final class OperatorService {

	private static final String CONTRACTS = "/v1/contracts";

	private static final String AUDIT = "/v1/audit";

	private static final int MAX_CONTRACT_CHARACTERS = 256 * 1024;

	private final OperatorKeys keys;

	private final BookGateway gateway;

	private final RegionStatusSource regions;

	private final LongSupplier wallClockMillis;

	/**
	 * Creates the service.
	 * @param keys the operators' keys
	 * @param gateway the access to the contract book
	 * @param regions supplies the replication status of each region
	 * @param wallClockMillis supplies the time in Unix milliseconds
	 */
	public OperatorService(OperatorKeys keys, BookGateway gateway, RegionStatusSource regions,
			LongSupplier wallClockMillis) {
		this.keys = keys;
		this.gateway = gateway;
		this.regions = regions;
		this.wallClockMillis = wallClockMillis;
	}

	/**
	 * Returns whether the service handles a path.
	 * @param path the path without a query
	 * @return whether requests for the path can be passed to {@link #handle}
	 */
	public static boolean serves(String path) {
		return path.equals(CONTRACTS) || path.startsWith(CONTRACTS + "/") || path.equals(AUDIT);
	}

	/**
	 * Handles a request.
	 * @param request the request
	 * @return the response
	 */
	public CompletableFuture<OperatorAnswer> handle(OperatorRequest request) {
		Optional<String> operator = request.key().flatMap(this.keys::operator);
		if (operator.isEmpty()) {
			return completed(OperatorAnswer.error(401, "OPERATOR_UNKNOWN",
					"Send an operator's key as 'Authorization: Bearer …'; its hash must be in this VM's settings."));
		}
		if (request.path().equals(AUDIT)) {
			return isGet(request) ? audit(request) : notAllowed(request);
		}
		if (request.path().equals(CONTRACTS)) {
			return isGet(request) ? list() : notAllowed(request);
		}
		return contract(request, operator.get());
	}

	private CompletableFuture<OperatorAnswer> contract(OperatorRequest request, String operator) {
		String[] parts = request.path().substring(CONTRACTS.length() + 1).split("/", -1);
		if (parts.length > 2 || !Names.isValid(parts[0])) {
			return completed(notFound(request.path()));
		}
		CustomerId customer = new CustomerId(parts[0]);
		if (parts.length == 2) {
			return detail(request, customer, parts[1]);
		}
		return switch (request.method()) {
			case "GET" -> get(customer);
			case "PUT" -> apply(request, operator, customer);
			case "DELETE" -> remove(request, operator, customer);
			default -> notAllowed(request);
		};
	}

	private CompletableFuture<OperatorAnswer> detail(OperatorRequest request, CustomerId customer, String detail) {
		if (!isGet(request)) {
			return notAllowed(request);
		}
		return switch (detail) {
			case "history" -> history(customer);
			case "status" -> status(customer);
			default -> completed(notFound(request.path()));
		};
	}

	private CompletableFuture<OperatorAnswer> apply(OperatorRequest request, String operator, CustomerId customer) {
		if (request.body().length() > MAX_CONTRACT_CHARACTERS) {
			return completed(OperatorAnswer.error(413, "CONTRACT_TOO_LARGE",
					"A contract may have at most " + MAX_CONTRACT_CHARACTERS + " characters."));
		}
		return propose(customer,
				new BookCommand.Apply(operator, customer, request.body(), this.wallClockMillis.getAsLong()));
	}

	private CompletableFuture<OperatorAnswer> remove(OperatorRequest request, String operator, CustomerId customer) {
		Optional<Long> revision = request.parameter("revision").flatMap(OperatorService::parsePositive);
		if (revision.isEmpty()) {
			return completed(OperatorAnswer.error(400, "REVISION_MISSING",
					"A removal needs a revision: send ?revision=N, where N is one above the revision in force."));
		}
		return propose(customer,
				new BookCommand.Remove(operator, customer, revision.get(), this.wallClockMillis.getAsLong()));
	}

	private static Optional<Long> parsePositive(String text) {
		try {
			return Optional.of(Long.parseLong(text)).filter((number) -> number > 0);
		}
		catch (NumberFormatException ex) {
			return Optional.empty();
		}
	}

	private CompletableFuture<OperatorAnswer> propose(CustomerId customer, BookCommand command) {
		return this.gateway.propose(BookCommandCodec.encode(command))
			.thenApply((proposal) -> OutcomeAnswers.answer(customer, proposal));
	}

	private CompletableFuture<OperatorAnswer> get(CustomerId customer) {
		return read((book) -> book.entry(customer), (entry, body) -> {
			entry.ifPresent((found) -> body.setAll(BookDocuments.entry(found)));
			return entry.isPresent();
		});
	}

	private CompletableFuture<OperatorAnswer> list() {
		return read(ContractBook::entries, (entries, body) -> {
			ArrayNode list = body.putArray("contracts");
			entries.stream()
				.sorted((left, right) -> left.customer().compareTo(right.customer()))
				.forEach((entry) -> list.add(BookDocuments.summary(entry)));
			return true;
		});
	}

	private CompletableFuture<OperatorAnswer> history(CustomerId customer) {
		return read((book) -> book.revisions(customer), (revisions, body) -> {
			body.put("customer", customer.value());
			ArrayNode list = body.putArray("revisions");
			revisions.forEach((revision) -> list.add(BookDocuments.revision(revision)));
			return !revisions.isEmpty();
		});
	}

	private CompletableFuture<OperatorAnswer> status(CustomerId customer) {
		return read((book) -> new EntryWithHistory(book.entry(customer), book.revisions(customer)), (state, body) -> {
			if (state.entry().isEmpty()) {
				return false;
			}
			body.setAll(BookDocuments.summary(state.entry().get()));
			ArrayNode list = body.putArray("regions");
			this.regions.regions()
				.forEach((region) -> list
					.add(BookDocuments.region(region, state.history(), this.wallClockMillis.getAsLong())));
			return true;
		});
	}

	private CompletableFuture<OperatorAnswer> audit(OperatorRequest request) {
		Optional<String> customer = request.parameter("customer");
		if (customer.isPresent() && !Names.isValid(customer.get())) {
			return completed(OperatorAnswer.error(400, "CUSTOMER_INVALID", "The customer's name is not valid."));
		}
		long sinceMillis;
		try {
			sinceMillis = request.parameter("since").map(Instant::parse).map(Instant::toEpochMilli).orElse(0L);
		}
		catch (DateTimeException | ArithmeticException ex) {
			return completed(
					OperatorAnswer.error(400, "SINCE_INVALID", "'since' must be a time such as 2026-11-30T08:00:00Z."));
		}
		return read((book) -> book.audit(sinceMillis, customer.map(CustomerId::new)), (records, body) -> {
			ArrayNode list = body.putArray("records");
			records.stream().map(BookDocuments::audit).forEach(list::add);
			return true;
		});
	}

	private <T> CompletableFuture<OperatorAnswer> read(Function<ContractBook, T> reader, BodyWriter<T> writer) {
		return this.gateway.read(reader).thenApply((reading) -> {
			ObjectNode body = JsonNodeFactory.instance.objectNode();
			if (!writer.write(reading.value(), body)) {
				return addFreshness(OperatorAnswer.error(404, "CONTRACT_NOT_FOUND", "The customer has no contract."),
						reading);
			}
			return addFreshness(new OperatorAnswer(200, body), reading);
		})
			.exceptionally((ex) -> OperatorAnswer.error(503, "NOT_READABLE",
					"The contract book can't be read on this VM at the moment."));
	}

	private static OperatorAnswer addFreshness(OperatorAnswer answer, BookReadResult<?> reading) {
		answer.body().put("latest", reading.latest());
		answer.with("appliedIndex", reading.appliedIndex());
		return answer.with("leaderlessMillis", reading.leaderlessMillis());
	}

	private static boolean isGet(OperatorRequest request) {
		return "GET".equals(request.method());
	}

	private static CompletableFuture<OperatorAnswer> notAllowed(OperatorRequest request) {
		return completed(OperatorAnswer.error(405, "METHOD_NOT_ALLOWED",
				"The method " + request.method() + " is not supported at " + request.path() + "."));
	}

	private static OperatorAnswer notFound(String path) {
		return OperatorAnswer.error(404, "NOT_FOUND", "Nothing is served at " + path + ".");
	}

	private static CompletableFuture<OperatorAnswer> completed(OperatorAnswer answer) {
		return CompletableFuture.completedFuture(answer);
	}

	/**
	 * Writes the value read from the book to a response body. Returns whether there was a
	 * value to write.
	 *
	 * @param <T> the type of the value
	 */
	@FunctionalInterface
	private interface BodyWriter<T> {

		boolean write(T value, ObjectNode body);

	}

	/**
	 * A customer's current book entry and revision history. Immutable.
	 */
	private record EntryWithHistory(Optional<BookEntry> entry, List<RevisionRecord> history) {

	}

}
