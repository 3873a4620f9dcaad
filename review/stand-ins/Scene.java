import java.util.Map;

/** The operator's configuration of the cases and the first steps that all of them share. */
final class Scene {

	static final String HOST = "wuny96.example";

	private Scene() {
	}

	static final String READ = route("r-read", "/read/", "idempotent", "ledger", 2, 4_000, 686, "");

	static final String PAY = route("r-pay", "/pay/", "non_idempotent", "ledger", 1, 4_000, 686, "");

	static final String PAY_IN_EAST = PAY.replace("\"home-regions\":[]", "\"home-regions\":[\"east\"]");

	static final String DRAFT = route("r-draft", "/draft/", "streaming", "model", 2, 12_000, 1_200,
			",\"sticky\":true,\"resumable\":true,\"gap-target-ms\":800");

	static String config(int version) {
		return config(version, READ, PAY, DRAFT);
	}

	static String config(int version, String... routes) {
		return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":[{\"name\":\"ledger\",\"health-path\":\"/health\",\"max-conns\":100,"
				+ "\"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":0.0,\"warmup-per-s\":0.0},"
				+ "{\"name\":\"model\",\"health-path\":\"/health\",\"max-conns\":360,\"protocol\":\"h1\","
				+ "\"tls\":false,\"cold-start-s\":0.0,\"warmup-per-s\":0.0,\"engine\":{\"slots\":64,"
				+ "\"kv-capacity\":377087,\"kv-token-bytes\":18432,\"link-mbps\":130000.0,\"moves\":true,"
				+ "\"backups\":true,\"stride\":8,\"most\":12,\"pin-ms\":4000.0,\"hold-ms\":2000.0,\"handle_s\":5.0,"
				+ "\"models\":[{\"name\":\"m\"}]}}],\"limits\":{\"max-header-bytes\":16384,"
				+ "\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";
	}

	private static String route(String name, String prefix, String kind, String service, int attempts, int timeout,
			int objective, String more) {
		return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path-prefix\":\"" + prefix + "\",\"kind\":\""
				+ kind + "\",\"timeout-ms\":" + timeout + ",\"target-latency-ms\":" + objective
				+ ",\"priority\":2,\"service\":\"" + service + "\",\"max-attempts\":" + attempts
				+ ",\"home-regions\":[]" + more + "}";
	}

	/** Sends a request as a client does. */
	static Rig.Reply request(Rig rig, int entry, String method, String path, String id, String body, int deadline)
			throws Exception {
		return Rig.call(rig.front(entry), method, path, Map.of("Host", HOST, "X-Request-Id", id, "X-Deadline-Ms",
				Integer.toString(deadline)), body.getBytes("ISO-8859-1"), deadline);
	}

	/** Declares the configuration, and waits until all entry processes serve. */
	static void begin(Rig rig) throws Exception {
		begin(rig, config(7));
	}

	static void begin(Rig rig, String config) throws Exception {
		rig.startAll();
		if (!rig.order("PUT", "/config", config, 0, 40_000)) {
			throw new IllegalStateException("no configuration was accepted");
		}
		for (int entry = 0; entry < rig.entries; entry++) {
			awaitServing(rig, entry, 30_000);
		}
	}

	static void awaitServing(Rig rig, int entry, long maxMillis) throws Exception {
		double end = rig.millis() + maxMillis;
		while (true) {
			try {
				if (request(rig, entry, "GET", "/read/a", "first-" + entry + "-" + System.nanoTime(), "",
						1_000).status == 200) {
					return;
				}
			}
			catch (java.io.IOException ex) {
				// not yet
			}
			if (rig.millis() > end) {
				throw new IllegalStateException("edge-" + entry + " doesn't serve");
			}
			Rig.pause(100);
		}
	}

}
