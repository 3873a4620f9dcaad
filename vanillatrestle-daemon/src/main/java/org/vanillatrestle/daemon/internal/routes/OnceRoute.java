package org.vanillatrestle.daemon.internal.routes;

import java.util.Optional;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.OnceKey;
import org.vanillatrestle.daemon.internal.http.ConnectionListener;
import org.vanillatrestle.daemon.internal.http.HttpRoute;
import org.vanillatrestle.daemon.internal.ledger.OnceClient;
import org.vanillatrestle.daemon.internal.ledger.StoredAnswers;
import org.vanillatrestle.daemon.internal.pipeline.AnswerSink;
import org.vanillatrestle.daemon.internal.pipeline.CallerRequest;
import org.vanillatrestle.daemon.internal.pipeline.ContractLookup;
import org.vanillatrestle.daemon.internal.pipeline.Principal;
import org.vanillatrestle.daemon.internal.pipeline.Refusals;
import org.vanillatrestle.internal.once.KeyStatus;

/**
 * Returns what the once ledger knows about a key: {@code GET /v1/once/{key}} returns the
 * stored answer, or a JSON document with the verdict if no answer is stored.
 * <p>
 * Must be called on the VM's event loop.
 */
public final class OnceRoute implements HttpRoute {

	private static final String PREFIX = "/v1/once/";

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private final CallerLookup callers;

	private final OnceClient client;

	public OnceRoute(ContractLookup contracts, OnceClient client) {
		this.callers = new CallerLookup(contracts);
		this.client = client;
	}

	@Override
	public boolean matches(String path) {
		return path.startsWith(PREFIX);
	}

	@Override
	public ConnectionListener serve(CallerRequest request, AnswerSink sink) {
		String key = request.path().substring(PREFIX.length());
		if (!"GET".equals(request.method()) || !OnceKey.isValid(key)) {
			sink.refuse(Refusals.notFound(request.path()));
			return null;
		}
		this.callers.find(request, sink).ifPresent((principal) -> answer(principal, key, sink));
		return null;
	}

	private void answer(Principal principal, String key, AnswerSink sink) {
		OnceKey onceKey = new OnceKey(principal.contract().customer(), principal.caller().name(), key);
		Optional<DataCentreId> home = this.client.home(principal.caller(), onceKey);
		if (home.isEmpty()) {
			sink.refuse(Refusals.ledgerUnreachable(principal.caller().homeRegion(), RETRY_AFTER_MILLIS));
			return;
		}
		this.client.status(home.get(), onceKey).whenComplete((status, failure) -> {
			if (failure != null) {
				sink.refuse(Refusals.ledgerUnreachable(principal.caller().homeRegion(), RETRY_AFTER_MILLIS));
				return;
			}
			answer(status, sink);
		});
	}

	private static void answer(KeyStatus status, AnswerSink sink) {
		if (status.answer().isPresent()) {
			sink.answer(StoredAnswers.toHead(status.answer().get()), status.answer().get().body());
			return;
		}
		ObjectNode root = JsonNodeFactory.instance.objectNode();
		root.put("knowledge", status.knowledge().name());
		root.put("verdict", status.verdict().name());
		AnswerWriter.writeJson(sink, 200, root);
	}

}
