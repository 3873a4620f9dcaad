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
 * Determines which service and call rule of the contract apply to a request.
 * <p>
 * Stateless; used on the VM's event loop.
 */
public final class ClassifyFilter implements Filter {

	/**
	 * The path of chat completion requests.
	 */
	public static final String CHAT_COMPLETIONS = "/v1/chat/completions";

	private static final int DEFAULT_MAX_ANSWER_TOKENS = 256;

	@Override
	public void apply(Exchange exchange, Continuation next) {
		try {
			Call call = CHAT_COMPLETIONS.equals(exchange.request().path()) ? classifyChat(exchange)
					: classifyPlain(exchange);
			exchange.setCall(call);
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
					Refusals.badRequest("METHOD_NOT_ALLOWED", "Chat completion requests must use the method POST."));
		}
		ChatRequest chat = ChatRequest.parse(request.body());
		if (!Names.isValid(chat.model())) {
			throw new RefusedException(Refusals.unknownModel(chat.model()));
		}
		ModelName model = new ModelName(chat.model());
		ContractService service = exchange.contract()
			.serviceFor(model)
			.orElseThrow(() -> new RefusedException(Refusals.unknownModel(chat.model())));
		int maxTokens = (chat.maxTokens() > 0) ? chat.maxTokens() : DEFAULT_MAX_ANSWER_TOKENS;
		return new Call(service, Optional.of(model), CHAT_COMPLETIONS, Repeat.IDEMPOTENT, false, chat.stream(),
				chat.promptTokens(), maxTokens, chat.prefixHash(), deadlineMillis(request, service));
	}

	private Call classifyPlain(Exchange exchange) throws RefusedException {
		CallerRequest request = exchange.request();
		String path = request.path();
		int slashIndex = path.indexOf('/', 1);
		String serviceName = path.substring(1, (slashIndex < 0) ? path.length() : slashIndex);
		String servicePath = (slashIndex < 0) ? "/" : path.substring(slashIndex);
		ContractService service = findPlainService(exchange, serviceName);
		CallRule rule = service.ruleFor(request.method(), PathNormalizer.normalize(servicePath));
		String targetPath = request.query().isEmpty() ? servicePath : servicePath + "?" + request.query();
		return new Call(service, Optional.empty(), targetPath, rule.repeat(), rule.keyRequired(), false, 0, 0, 0,
				deadlineMillis(request, service));
	}

	private ContractService findPlainService(Exchange exchange, String serviceName) throws RefusedException {
		Optional<ContractService> service = Names.isValid(serviceName)
				? exchange.contract().service(new ServiceName(serviceName)) : Optional.empty();
		if (service.isEmpty() || service.get().kind() != ServiceKind.PLAIN) {
			throw new RefusedException(Refusals.unknownService(serviceName));
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
			// refused below, like numbers that are not positive
		}
		throw new RefusedException(Refusals.badRequest("DEADLINE_INVALID",
				"Vanillatrestle-Deadline-Millis must be a positive integer, for example 2000."));
	}

	/**
	 * Reads the number of events to skip when a stream is resumed. The header is ignored
	 * unless another VM forwarded the request.
	 * @param exchange the request
	 * @throws RefusedException if the header is not an integer
	 */
	private void readResumeOffset(Exchange exchange) throws RefusedException {
		String offset = exchange.request().header(HeaderNames.RESUME_OFFSET);
		if (!exchange.isForwarded() || offset == null) {
			return;
		}
		try {
			exchange.initialEventOffset(Math.max(0, Integer.parseInt(offset)));
		}
		catch (NumberFormatException ex) {
			throw new RefusedException(
					Refusals.badRequest("OFFSET_INVALID", "Vanillatrestle-Resume-Offset must be an integer."));
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
					"An Idempotency-Key must consist of 1 to 200 printable ASCII characters without spaces."));
		}
		exchange.onceKey(new OnceKey(exchange.contract().customer(), exchange.caller().name(), key));
	}

}
