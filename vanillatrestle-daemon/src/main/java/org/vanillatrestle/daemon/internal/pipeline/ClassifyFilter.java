package org.vanillatrestle.daemon.internal.pipeline;

import java.util.Optional;

import org.vanillatrestle.CallRule;
import org.vanillatrestle.ContractService;
import org.vanillatrestle.ModelName;
import org.vanillatrestle.Names;
import org.vanillatrestle.OnceKey;
import org.vanillatrestle.Repeat;
import org.vanillatrestle.ServiceKind;
import org.vanillatrestle.ServiceName;

/**
 * Finds out which service and call of the contract a request asks for.
 * <p>
 * Stateless; used on the VM's event loop.
 */
public final class ClassifyFilter implements Filter {

	/**
	 * The path of chat completions.
	 */
	public static final String CHAT_COMPLETIONS = "/v1/chat/completions";

	private static final int ESTIMATED_ANSWER_TOKENS = 256;

	@Override
	public void apply(Exchange exchange, Continuation next) {
		try {
			Call call = CHAT_COMPLETIONS.equals(exchange.request().path()) ? classifyChat(exchange)
					: classifyPlain(exchange);
			exchange.classified(call);
			readOnceKey(exchange);
			readResumeOffset(exchange);
		}
		catch (RefusedException ex) {
			exchange.refuse(ex.refusal());
			return;
		}
		next.proceed();
	}

	private Call classifyChat(Exchange exchange) throws RefusedException {
		CallerRequest request = exchange.request();
		if (!"POST".equals(request.method())) {
			throw new RefusedException(
					Refusals.badRequest("METHOD_NOT_ALLOWED", "Chat completions are asked for with POST."));
		}
		ChatRequest chat = ChatRequest.parse(request.body());
		if (!Names.isValid(chat.model())) {
			throw new RefusedException(Refusals.unknownModel(chat.model()));
		}
		ModelName model = new ModelName(chat.model());
		ContractService service = exchange.contract()
			.serviceFor(model)
			.orElseThrow(() -> new RefusedException(Refusals.unknownModel(chat.model())));
		int maxTokens = (chat.maxTokens() > 0) ? chat.maxTokens() : ESTIMATED_ANSWER_TOKENS;
		return new Call(service, Optional.of(model), CHAT_COMPLETIONS, Repeat.IDEMPOTENT, false, chat.stream(),
				chat.promptTokens(), maxTokens, chat.prefixHash(), deadlineMillis(request, service));
	}

	private Call classifyPlain(Exchange exchange) throws RefusedException {
		CallerRequest request = exchange.request();
		String path = request.path();
		int slash = path.indexOf('/', 1);
		String name = path.substring(1, (slash < 0) ? path.length() : slash);
		String rest = (slash < 0) ? "/" : path.substring(slash);
		ContractService service = findPlain(exchange, name);
		CallRule rule = service.ruleFor(request.method(), PathNormalizer.normalize(rest));
		String targetPath = request.query().isEmpty() ? rest : rest + "?" + request.query();
		return new Call(service, Optional.empty(), targetPath, rule.repeat(), rule.keyRequired(), false, 0, 0, 0,
				deadlineMillis(request, service));
	}

	private ContractService findPlain(Exchange exchange, String name) throws RefusedException {
		Optional<ContractService> service = Names.isValid(name) ? exchange.contract().service(new ServiceName(name))
				: Optional.empty();
		if (service.isEmpty() || service.get().kind() != ServiceKind.PLAIN) {
			throw new RefusedException(Refusals.unknownService(name));
		}
		return service.get();
	}

	private long deadlineMillis(CallerRequest request, ContractService service) throws RefusedException {
		String header = request.header(HeaderNames.DEADLINE_MILLIS);
		if (header == null) {
			return service.deadlineMillis();
		}
		try {
			long millis = Long.parseLong(header.trim());
			if (millis > 0) {
				return Math.min(millis, service.deadlineMillis());
			}
		}
		catch (NumberFormatException ex) {
			// reported below
		}
		throw new RefusedException(Refusals.badRequest("DEADLINE_INVALID",
				"Vanillatrestle-Deadline-Millis must be a whole number above 0, for example 2000."));
	}

	/**
	 * Reads from which event a stream is resumed; only other VMs may ask for that.
	 * @param exchange the request
	 * @throws RefusedException if the header is not a number
	 */
	private void readResumeOffset(Exchange exchange) throws RefusedException {
		String offset = exchange.request().header(HeaderNames.RESUME_OFFSET);
		if (!exchange.isForwarded() || offset == null) {
			return;
		}
		try {
			exchange.initialOffset(Math.max(0, Integer.parseInt(offset)));
		}
		catch (NumberFormatException ex) {
			throw new RefusedException(Refusals.badRequest("OFFSET_INVALID", "The offset must be a whole number."));
		}
	}

	private void readOnceKey(Exchange exchange) throws RefusedException {
		Call call = exchange.call();
		if (call.repeat() != Repeat.AT_MOST_ONCE) {
			return;
		}
		CallerRequest request = exchange.request();
		String key = request.header(HeaderNames.IDEMPOTENCY_KEY);
		if (key == null) {
			if (call.keyRequired()) {
				throw new RefusedException(Refusals.missingIdempotencyKey(request.method(), request.path()));
			}
			return;
		}
		if (!OnceKey.isValid(key)) {
			throw new RefusedException(Refusals.badRequest("IDEMPOTENCY_KEY_INVALID",
					"An Idempotency-Key has 1 to 200 printable ASCII characters without spaces."));
		}
		exchange.onceKey(new OnceKey(exchange.contract().customer(), exchange.caller().name(), key));
	}

}
