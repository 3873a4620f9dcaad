package org.vanillatrestle.daemon.internal.routes;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.vanillatrestle.InvalidDocumentException;
import org.vanillatrestle.Names;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.Verdict;
import org.vanillatrestle.daemon.internal.http.ConnectionListener;
import org.vanillatrestle.daemon.internal.http.HttpRoute;
import org.vanillatrestle.daemon.internal.pipeline.AnswerSink;
import org.vanillatrestle.daemon.internal.pipeline.BearerKeys;
import org.vanillatrestle.daemon.internal.pipeline.CallerRequest;
import org.vanillatrestle.daemon.internal.pipeline.HeaderNames;
import org.vanillatrestle.daemon.internal.pipeline.Refusal;
import org.vanillatrestle.daemon.internal.pipeline.Refusals;
import org.vanillatrestle.internal.target.Announcement;
import org.vanillatrestle.internal.target.AnnouncementOutcome;

/**
 * Accepts targets' announcements: {@code POST /v1/targets/{id}}.
 * <p>
 * Must be called on the VM's event loop.
 */
public final class AnnouncementRoute implements HttpRoute {

	private static final String PREFIX = "/v1/targets/";

	private static final long NO_RETRY_MILLIS = -1;

	private final Function<Announcement, AnnouncementOutcome> registry;

	private final Supplier<List<String>> entries;

	private final long ttlMillis;

	private final String secretSha256;

	/**
	 * Creates the route.
	 * @param registry processes an announcement
	 * @param entries supplies the addresses of the known entry VMs in this data centre
	 * @param ttlMillis how long an announcement is valid, in milliseconds
	 * @param secretSha256 the SHA-256 of the secret that targets must send, or
	 * {@code null} if none is required
	 */
	public AnnouncementRoute(Function<Announcement, AnnouncementOutcome> registry, Supplier<List<String>> entries,
			long ttlMillis, String secretSha256) {
		this.registry = registry;
		this.entries = entries;
		this.ttlMillis = ttlMillis;
		this.secretSha256 = secretSha256;
	}

	@Override
	public boolean matches(String path) {
		return path.startsWith(PREFIX);
	}

	@Override
	public ConnectionListener serve(CallerRequest request, AnswerSink sink) {
		String id = request.path().substring(PREFIX.length());
		if (!"POST".equals(request.method()) || !Names.isValid(id)) {
			sink.refuse(Refusals.notFound(request.path()));
			return null;
		}
		if (!hasValidSecret(request)) {
			sink.refuse(new Refusal(403, "SECRET_WRONG",
					"Targets must send the secret in the header " + HeaderNames.TARGET_SECRET + ".", Verdict.NOT_RUN,
					Verdict.NOT_RUN, NO_RETRY_MILLIS, List.of()));
			return null;
		}
		try {
			String json = new String(request.body(), StandardCharsets.UTF_8);
			announce(AnnouncementReader.read(new TargetId(id), json), sink);
		}
		catch (InvalidDocumentException ex) {
			sink.refuse(Refusals.badRequest("ANNOUNCEMENT_INVALID", ex.getMessage()));
		}
		return null;
	}

	private boolean hasValidSecret(CallerRequest request) {
		if (this.secretSha256 == null) {
			return true;
		}
		String secret = request.header(HeaderNames.TARGET_SECRET);
		return secret != null && BearerKeys.isSameHash(BearerKeys.sha256(secret), this.secretSha256);
	}

	private void announce(Announcement announcement, AnswerSink sink) {
		AnnouncementOutcome outcome = this.registry.apply(announcement);
		switch (outcome) {
			case ACCEPTED, STALE -> AnswerWriter.writeJson(sink, 200, toJson());
			case OLDER_INCARNATION -> sink.refuse(new Refusal(409, outcome.name(),
					"A later incarnation of this target has announced itself. If this one is the newer,"
							+ " it must announce a greater incarnation number.",
					Verdict.NOT_RUN, Verdict.NOT_RUN, NO_RETRY_MILLIS, List.of()));
			case WRONG_DATA_CENTRE -> sink.refuse(new Refusal(403, outcome.name(),
					"The target is in another data centre. Announce it to an entry VM there.", Verdict.NOT_RUN,
					Verdict.NOT_RUN, NO_RETRY_MILLIS, List.of()));
		}
	}

	private ObjectNode toJson() {
		ObjectNode root = JsonNodeFactory.instance.objectNode();
		root.put("ttlMillis", this.ttlMillis);
		ArrayNode addresses = root.putArray("entries");
		this.entries.get().forEach(addresses::add);
		return root;
	}

}
