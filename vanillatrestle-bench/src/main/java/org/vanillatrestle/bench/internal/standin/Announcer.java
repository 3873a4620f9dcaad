package org.vanillatrestle.bench.internal.standin;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jboss.logging.Logger;
import org.vanillatrestle.InvalidDocumentException;
import org.vanillatrestle.bench.internal.http.Responses;
import org.vanillatrestle.internal.json.JsonObject;

/**
 * Announces a stand-in target every second to one entry VM, and turns to the next one
 * when that fails.
 * <p>
 * Thread safe. Each announcement has a greater sequence number than the one before it;
 * the incarnation is fixed when the announcer is created.
 */
public final class Announcer implements AutoCloseable {

	private static final Logger logger = Logger.getLogger(Announcer.class);

	private static final long PERIOD_MILLIS = 1000;

	private static final Duration TIMEOUT = Duration.ofMillis(900);

	private static final int STATUS_OK = 200;

	private final TargetProfile profile;

	private final String host;

	private final int port;

	private final Supplier<LoadReport> load;

	private final HttpClient client;

	private final long incarnation = System.currentTimeMillis();

	private ScheduledFuture<?> schedule;

	private List<String> entries;

	private int current;

	private long sequence;

	private boolean leaving;

	private boolean paused;

	/**
	 * Creates an announcer.
	 * @param profile what the target says of itself
	 * @param host the address where it listens
	 * @param port its port
	 * @param load gives the load to report
	 */
	public Announcer(TargetProfile profile, String host, int port, Supplier<LoadReport> load) {
		this.profile = profile;
		this.host = host;
		this.port = port;
		this.load = load;
		this.entries = profile.entries();
		this.client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(TIMEOUT).build();
	}

	/**
	 * Starts to announce.
	 * @param executor runs the announcements
	 */
	public synchronized void start(ScheduledExecutorService executor) {
		if (!this.entries.isEmpty()) {
			this.schedule = executor.scheduleAtFixedRate(this::announce, 0, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Announces from now on that the target is leaving, and does so at once.
	 * @return completes when an entry VM was asked
	 */
	public CompletableFuture<Void> leave() {
		synchronized (this) {
			this.leaving = true;
		}
		return announce();
	}

	/**
	 * Stops or resumes announcements without telling anybody, like a cut link.
	 * @param pause whether to stop
	 */
	public synchronized void pause(boolean pause) {
		this.paused = pause;
	}

	/**
	 * Sends one announcement.
	 * @return completes when the entry VM has answered or failed
	 */
	public CompletableFuture<Void> announce() {
		HttpRequest request;
		synchronized (this) {
			if (this.paused || this.entries.isEmpty()) {
				return CompletableFuture.completedFuture(null);
			}
			request = request(this.entries.get(this.current % this.entries.size()));
		}
		return this.client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
			.handle((response, failure) -> finish(response, failure));
	}

	private HttpRequest request(String entry) {
		HttpRequest.Builder builder = HttpRequest
			.newBuilder(URI.create("http://" + entry + "/v1/targets/" + this.profile.id()))
			.timeout(TIMEOUT)
			.header("Content-Type", "application/json")
			.POST(HttpRequest.BodyPublishers.ofByteArray(Responses.encode(body())));
		if (!this.profile.secret().isEmpty()) {
			builder.header("Vanillatrestle-Target-Secret", this.profile.secret());
		}
		return builder.build();
	}

	private ObjectNode body() {
		LoadReport report = this.load.get();
		ObjectNode body = this.profile.toJson(this.host, this.port)
			.put("incarnation", this.incarnation)
			.put("sequence", ++this.sequence)
			.put("leaving", this.leaving)
			.put("resumes", this.profile.kind().equals("MODEL"));
		body.putObject("load")
			.put("running", report.running())
			.put("queued", report.queued())
			.put("cacheUsePercent", report.cacheUsePercent());
		return body;
	}

	private synchronized Void finish(HttpResponse<String> response, Throwable failure) {
		if (failure != null) {
			logger.debugf("Announcer: %s got no answer, the next entry VM is asked. %s", this.profile.id(), failure);
			this.current++;
			return null;
		}
		if (response.statusCode() != STATUS_OK) {
			logger.warnf("Announcer: %s was refused with status %d. %s", this.profile.id(), response.statusCode(),
					response.body());
			this.current++;
			return null;
		}
		learn(response.body());
		return null;
	}

	private void learn(String answer) {
		try {
			List<String> known = new ArrayList<>(JsonObject.parse(answer).strings("entries"));
			if (known.isEmpty()) {
				return;
			}
			String used = this.entries.get(this.current % this.entries.size());
			for (String seed : this.profile.entries()) {
				if (!known.contains(seed)) {
					known.add(seed);
				}
			}
			this.entries = List.copyOf(known);
			this.current = Math.max(0, known.indexOf(used));
		}
		catch (InvalidDocumentException ex) {
			logger.warnf("Announcer: %s got an answer that can't be read. %s", this.profile.id(), ex.getMessage());
		}
	}

	@Override
	public synchronized void close() {
		if (this.schedule != null) {
			this.schedule.cancel(false);
		}
	}

}
