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
 * Takes targets' announcements: {@code POST /v1/targets/{id}}.
 * <p>
 * Used on the VM's event loop.
 */
public final class TargetsRoute implements HttpRoute {

	private static final String PREFIX = "/v1/targets/";

	private static final long NEVER = -1;

	private final Function<Announcement, AnnouncementOutcome> registry;

	private final Supplier<List<String>> entries;

	private final long ttlMillis;

	private final String secretSha256;

	/**
	 * Creates the route.
	 * @param registry takes announcements
	 * @param entries gives the addresses of the entry VMs now known in this data centre
	 * @param ttlMillis how long an announcement holds
	 * @param secretSha256 the hash of the secret targets must send, or {@code null}
	 */
	public TargetsRoute(Function<Announcement, AnnouncementOutcome> registry, Supplier<List<String>> entries,
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
		if (!isSecretRight(request)) {
			sink.refuse(new Refusal(403, "SECRET_WRONG",
					"Targets must send the secret in the header " + HeaderNames.TARGET_SECRET + ".", Verdict.NOT_RUN,
					Verdict.NOT_RUN, NEVER, List.of()));
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

	private boolean isSecretRight(CallerRequest request) {
		if (this.secretSha256 == null) {
			return true;
		}
		String secret = request.header(HeaderNames.TARGET_SECRET);
		return secret != null && BearerKeys.isSameHash(BearerKeys.sha256(secret), this.secretSha256);
	}

	private void announce(Announcement announcement, AnswerSink sink) {
		AnnouncementOutcome outcome = this.registry.apply(announcement);
		switch (outcome) {
			case ACCEPTED, STALE -> Answers.json(sink, 200, answer());
			case OLDER_INCARNATION -> sink.refuse(new Refusal(409, outcome.name(),
					"A later incarnation of this target has announced itself. If this one is the newer,"
							+ " it must announce a greater incarnation number.",
					Verdict.NOT_RUN, Verdict.NOT_RUN, NEVER, List.of()));
			case WRONG_DATA_CENTRE -> sink.refuse(new Refusal(403, outcome.name(),
					"The target stands in another data centre. Announce it to an entry VM there.", Verdict.NOT_RUN,
					Verdict.NOT_RUN, NEVER, List.of()));
		}
	}

	private ObjectNode answer() {
		ObjectNode top = JsonNodeFactory.instance.objectNode();
		top.put("ttlMillis", this.ttlMillis);
		ArrayNode addresses = top.putArray("entries");
		this.entries.get().forEach(addresses::add);
		return top;
	}

}
