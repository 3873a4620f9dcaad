package org.vanillatrestle.daemon.internal.routes;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.vanillatrestle.Caller;
import org.vanillatrestle.daemon.internal.directory.EntryDirectory;
import org.vanillatrestle.daemon.internal.http.ConnectionListener;
import org.vanillatrestle.daemon.internal.http.HttpRoute;
import org.vanillatrestle.daemon.internal.pipeline.AnswerSink;
import org.vanillatrestle.daemon.internal.pipeline.CallerRequest;
import org.vanillatrestle.daemon.internal.pipeline.ContractLookup;
import org.vanillatrestle.daemon.internal.pipeline.Principal;

/**
 * Returns the entry VMs that a caller should use: {@code GET /v1/entry}.
 * <p>
 * Must be called on the VM's event loop.
 */
public final class EntryRoute implements HttpRoute {

	private static final String PATH = "/v1/entry";

	private static final long TTL_MILLIS = 5_000;

	private final CallerLookup callers;

	private final EntryDirectory directory;

	private final Function<Caller, Optional<String>> keyPrefix;

	/**
	 * Creates the route.
	 * @param contracts the contracts in force
	 * @param directory the directory of entry VMs
	 * @param keyPrefix returns the key prefix for a caller, or empty if it is not known
	 * yet
	 */
	public EntryRoute(ContractLookup contracts, EntryDirectory directory,
			Function<Caller, Optional<String>> keyPrefix) {
		this.callers = new CallerLookup(contracts);
		this.directory = directory;
		this.keyPrefix = keyPrefix;
	}

	@Override
	public boolean matches(String path) {
		return PATH.equals(path);
	}

	@Override
	public ConnectionListener serve(CallerRequest request, AnswerSink sink) {
		this.callers.find(request, sink).ifPresent((principal) -> AnswerWriter.writeJson(sink, 200, toJson(principal)));
		return null;
	}

	private ObjectNode toJson(Principal principal) {
		ObjectNode root = JsonNodeFactory.instance.objectNode();
		ArrayNode entries = root.putArray("entries");
		List<String> addresses = this.directory.entriesFor(principal.contract(), principal.caller());
		addresses.forEach(entries::add);
		root.put("ttlMillis", TTL_MILLIS);
		root.put("home", principal.caller().homeRegion().value());
		this.keyPrefix.apply(principal.caller()).ifPresent((prefix) -> root.put("keyPrefix", prefix));
		return root;
	}

}
