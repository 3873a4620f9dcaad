import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: control and entry processes, started with the commands of the deploy
 * file, and the platform's side of their settings. Three zones in three regions.
 */
final class Rig implements AutoCloseable {

	static final List<String> REGIONS = List.of("east", "west", "south");

	private static final int PORT = 18_200;

	private final Path root = Path.of("").toAbsolutePath();

	private final Path folder = Files.createTempDirectory("review-");

	private final Map<String, Process> processes = new LinkedHashMap<>();

	private final Map<String, String> settings = new LinkedHashMap<>();

	private final String network;

	private final PrintWriter record;

	private final long startNanos = System.nanoTime();

	final int entries;

	Rig(Path recordFile, int entries) throws IOException {
		this.record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
		this.entries = entries;
		this.network = freeNetwork();
		Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
		for (int i = 0; i < 3; i++) {
			this.settings.put("core-" + i, settings("core-" + i, "core", List.of("control", "directory"),
					controlHost(i), i, "\"control\":\"" + control(i) + "\",\"directory\":\"" + controlHost(i) + ":"
							+ (PORT + 4) + "\"",
					"\"" + this.folder.resolve("core-" + i + "-data") + "\""));
		}
		for (int i = 0; i < entries; i++) {
			this.settings.put("edge-" + i, settings("edge-" + i, "edge", List.of("edge"), entryHost(i), i % 3,
					"\"front\":\"" + front(i) + "\",\"ready\":\"" + entryHost(i) + ":" + (PORT + 4) + "\"", "null"));
		}
	}

	private static String freeNetwork() throws IOException {
		Random random = new Random();
		for (int i = 0; i < 50; i++) {
			String candidate = "127." + (90 + random.nextInt(150)) + "." + (1 + random.nextInt(250)) + ".";
			try (ServerSocket probe = new ServerSocket(PORT + 3, 1, InetAddress.getByName(candidate + "10"))) {
				return candidate;
			}
			catch (IOException ex) {
				// in use
			}
		}
		throw new IOException("no free loopback network");
	}

	String controlHost(int number) {
		return this.network + (10 + number);
	}

	String control(int number) {
		return controlHost(number) + ":" + (PORT + 3);
	}

	String entryHost(int number) {
		return this.network + (100 + number);
	}

	String front(int entry) {
		return entryHost(entry) + ":" + (PORT + 3);
	}

	String engineHost(int number) {
		return this.network + (200 + number);
	}

	private String settings(String name, String machineClass, List<String> serves, String host, int region,
			String listen, String data) {
		StringBuilder seeds = new StringBuilder();
		for (int i = 0; i < 3; i++) {
			seeds.append((i > 0) ? "," : "").append('"').append(control(i)).append('"');
		}
		String zone = REGIONS.get(region) + "-a";
		return "{\"node-name\":\"" + name + "\",\"role\":\"" + machineClass + "\",\"machine-class\":\"" + machineClass
				+ "\",\"serves\":[\"" + String.join("\",\"", serves) + "\"],\"ip\":\"" + host + "\",\"zone\":\"" + zone
				+ "\",\"region\":\"" + REGIONS.get(region)
				+ "\",\"zones\":{\"east-a\":\"east\",\"west-a\":\"west\",\"south-a\":\"south\"},\"listen\":{" + listen
				+ "},\"internal-ports\":[" + PORT + "," + (PORT + 2) + "],\"seeds\":[" + seeds
				+ "],\"bootstrap\":true,\"in-fault-budget\":" + "core".equals(machineClass)
				+ ",\"limits\":{\"cpu-share\":0.75,\"cores\":1,\"memory-mb\":430,\"max-fds\":4100,\"link-mbps\":1000.0,"
				+ "\"disk-mb\":128},\"data-dir\":" + data + ",\"discovery\":\"register\",\"entry\":\"directory\","
				+ "\"heartbeat-ms\":1200,\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\","
				+ "\"engine\",\"stream\",\"places\"],\"fault-tolerance\":{\"machines\":1,\"zones\":1,\"regions\":1},"
				+ "\"bounds\":{\"seed-lag-s\":3,\"addr-reuse-s\":2,\"contact-ms\":6000,\"ack-ms\":8000,\"catch-up-s\":4,"
				+ "\"drain-ms\":4000,\"grace-s\":8,\"loss-slack-ms\":200,\"config-apply-ms\":4000,"
				+ "\"rollback-slack-ms\":250,\"max-stretch-ms\":10000,\"retry-ratio\":0.2,\"budget-window-s\":10,"
				+ "\"retry-slack\":54,\"cold-factor\":1.5,\"cold-slack\":3,\"evacuate-ms\":5000,\"recovery-s\":12,"
				+ "\"pass-ms\":800,\"cache-window-s\":10,\"ttl_max_s\":5},\"config-mode\":\"highest\"}";
	}

	void startAll() throws Exception {
		for (String name : this.settings.keySet()) {
			start(name);
		}
	}

	/** Starts a process with the command of the deploy file. */
	void start(String name) throws Exception {
		boolean first = !this.processes.containsKey(name);
		Path file = this.folder.resolve(name + ".json");
		String text = this.settings.get(name);
		Files.writeString(file, first ? text : text.replace("\"bootstrap\":true", "\"bootstrap\":false"));
		Path data = this.folder.resolve(name + "-data");
		if (name.startsWith("core")) {
			Files.createDirectories(data);
		}
		String role = name.startsWith("core") ? "control" : "entry";
		Matcher run = Pattern.compile("\\[roles\\." + role + "\\]\\s*run = \"([^\"]*)\"")
			.matcher(Files.readString(this.root.resolve("deploy/system.toml")));
		if (!run.find()) {
			throw new IOException("no run line for " + role);
		}
		List<String> words = new ArrayList<>(List.of(run.group(1).split(" ")));
		words.set(0, Path.of(System.getProperty("java.home"), "bin", "java").toString());
		ProcessBuilder builder = new ProcessBuilder(words).directory(this.root.toFile())
			.redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(this.folder.resolve(name + ".log").toFile()));
		builder.environment().put("VANILLATRESTLE_BOOT", file.toString());
		this.processes.put(name, builder.start());
	}

	Process process(String name) {
		return this.processes.get(name);
	}

	void signal(String name, String signal) throws Exception {
		note(name + " gets SIG" + signal);
		new ProcessBuilder("kill", "-" + signal, Long.toString(this.processes.get(name).pid())).start().waitFor();
	}

	void kill(String name) throws Exception {
		note(name + " is killed");
		this.processes.get(name).destroyForcibly().waitFor();
	}

	/** Finds lines in the log of a process. */
	List<String> log(String name, String text) throws IOException {
		try (Stream<String> lines = Files.lines(this.folder.resolve(name + ".log"), StandardCharsets.ISO_8859_1)) {
			return lines.filter((line) -> line.contains(text)).toList();
		}
	}

	Path folder() {
		return this.folder;
	}

	/** Tells which control process leads, by its own metrics. */
	int leader() throws Exception {
		for (int i = 0; i < 3; i++) {
			try {
				Reply reply = call(controlHost(i) + ":9464", "GET", "/metrics", Map.of(), new byte[0], 1_000);
				if (Pattern.compile("(?m)^[a-z_.]*leader(\\{[^}]*\\})? 1").matcher(reply.text()).find()) {
					return i;
				}
			}
			catch (IOException ex) {
				// the next one
			}
		}
		return -1;
	}

	double millis() {
		return (System.nanoTime() - this.startNanos) / 1e6;
	}

	void note(String text) {
		this.record.printf(Locale.ROOT, "%9.3f s  %s%n", millis() / 1_000, text);
	}

	static void pause(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(Math.max(0, millis));
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/** One call of the operator or of an engine at one control process; 0 if there was no answer within a second. */
	int controlAt(int number, String method, String path, String body) {
		try {
			return call(control(number), method, path, Map.of("Content-Type", "application/json"),
					body.getBytes(StandardCharsets.UTF_8), 1_000)
				.status;
		}
		catch (IOException ex) {
			return 0;
		}
	}

	/** An order of the operator: the given nodes first, then the others, until one acknowledges it. */
	boolean order(String method, String path, String body, int firstNode, long maxMillis) {
		double end = millis() + maxMillis;
		for (int i = firstNode; millis() < end; i++) {
			int status = controlAt(i % 3, method, path, body);
			note("operator: " + method + " " + path + " at core-" + (i % 3) + " -> "
					+ (status == 0 ? "no answer" : status));
			if (status / 100 == 2) {
				return true;
			}
			pause(50);
		}
		return false;
	}

	static final class Reply {

		int status;

		Map<String, String> headers = new TreeMap<>();

		byte[] body = new byte[0];

		// whether the answer ended as its head says it ends
		boolean complete;

		String text() {
			return new String(this.body, StandardCharsets.ISO_8859_1);
		}

	}

	/** One request on a connection of its own. */
	static Reply call(String address, String method, String path, Map<String, String> headers, byte[] body,
			int timeoutMillis) throws IOException {
		String[] parts = address.split(":");
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1_000);
			socket.setSoTimeout(timeoutMillis);
			StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
			if (!headers.containsKey("Host")) {
				head.append("Host: ").append(address).append("\r\n");
			}
			headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
			if (body.length > 0 || !"GET".equals(method)) {
				head.append("Content-Length: ").append(body.length).append("\r\n");
			}
			head.append("\r\n");
			socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
			socket.getOutputStream().write(body);
			return read(new BufferedInputStream(socket.getInputStream()));
		}
	}

	static Reply read(InputStream input) throws IOException {
		Reply reply = new Reply();
		String line = line(input);
		if (line == null) {
			throw new IOException("closed without an answer");
		}
		reply.status = Integer.parseInt(line.substring(9, 12));
		for (line = line(input); line != null && !line.isEmpty(); line = line(input)) {
			int colon = line.indexOf(':');
			reply.headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		try {
			if ("chunked".equals(reply.headers.get("transfer-encoding"))) {
				for (int size = size(input); size >= 0; size = size(input)) {
					body.write(input.readNBytes(size));
					line(input);
					if (size == 0) {
						reply.complete = true;
						break;
					}
				}
			}
			else if (reply.headers.containsKey("content-length")) {
				int length = Integer.parseInt(reply.headers.get("content-length"));
				body.write(input.readNBytes(length));
				reply.complete = body.size() == length;
			}
			else {
				input.transferTo(body);
				reply.complete = true;
			}
		}
		catch (IOException ex) {
			// it broke off
		}
		reply.body = body.toByteArray();
		return reply;
	}

	private static int size(InputStream input) throws IOException {
		String line = line(input);
		return (line == null || line.isEmpty()) ? -1 : Integer.parseInt(line.split(";")[0].trim(), 16);
	}

	static String line(InputStream input) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int next = input.read(); next >= 0; next = input.read()) {
			if (next == '\n') {
				return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
			}
			line.write(next);
		}
		return (line.size() == 0) ? null : line.toString(StandardCharsets.ISO_8859_1);
	}

	private void endAll() {
		for (Process process : this.processes.values()) {
			process.destroyForcibly();
		}
		for (Process process : this.processes.values()) {
			try {
				process.waitFor(2, TimeUnit.SECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

	@Override
	public void close() throws IOException {
		endAll();
		this.record.flush();
		if (System.getenv("KEEP") == null) {
			try (Stream<Path> files = Files.walk(this.folder)) {
				for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
					Files.deleteIfExists(file);
				}
			}
		}
		else {
			System.err.println("kept " + this.folder);
		}
	}

}
