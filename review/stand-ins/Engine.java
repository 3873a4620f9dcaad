import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** An engine or plain server as the pages describe it: it beats, and does with a request what it is told. */
final class Engine {

	interface Behaviour {

		/** Serves a request and tells whether the connection stays open. */
		boolean serve(Request request) throws Exception;

	}

	/** A request that has arrived, and the way to answer it. */
	static final class Request {

		final Engine engine;

		final String line;

		final Map<String, String> headers = new TreeMap<>();

		byte[] body = new byte[0];

		final Socket socket;

		double arrivedMillis;

		Request(Engine engine, String line, Socket socket) {
			this.engine = engine;
			this.line = line;
			this.socket = socket;
		}

		String id() {
			return this.headers.getOrDefault("x-request-id", "none");
		}

		void raw(String text) throws IOException {
			OutputStream output = this.socket.getOutputStream();
			output.write(text.getBytes(StandardCharsets.ISO_8859_1));
			output.flush();
		}

		void ran() {
			this.engine.rig.note("engine " + this.engine.id + " runs " + id());
			this.engine.runs.add(this);
		}

		void answer(String status, String extra, String body) throws IOException {
			raw("HTTP/1.1 " + status + "\r\nX-Request-Id: " + id() + "\r\nX-Response-Seal: " + this.engine.id + "."
					+ id() + "\r\n" + extra + "Content-Length: " + body.length() + "\r\n\r\n" + body);
		}

	}

	final Rig rig;

	final String id;

	final String service;

	final String zone;

	volatile long born = System.currentTimeMillis();

	final List<Request> arrivals = Collections.synchronizedList(new ArrayList<>());

	final List<Request> runs = Collections.synchronizedList(new ArrayList<>());

	private final ServerSocket server;

	volatile Behaviour behaviour = (request) -> {
		request.ran();
		request.answer("200 OK", "", "body of " + request.id());
		return true;
	};

	volatile String state = "ready";

	volatile boolean beating = true;

	/** How many times as long as usual the work takes. */
	volatile double slowness = 1;

	/** How the engine calls a control process: node, method, path, body; the status, 0 without an answer. */
	interface ControlCalls {

		int call(int node, String method, String path, String body);

	}

	volatile ControlCalls control;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private int sequence;

	Engine(Rig rig, int number, String service, String zone) throws IOException {
		this.rig = rig;
		this.id = "i-" + service + "-" + zone + "-" + number;
		this.service = service;
		this.zone = zone;
		this.control = rig::controlAt;
		this.server = new ServerSocket(0, 200, InetAddress.getByName(rig.engineHost(number)));
		thread("accept", this::accept);
		thread("beat", () -> {
			while (true) {
				if (this.beating) {
					beat();
				}
				Rig.pause(1_200);
			}
		});
	}

	static void thread(String name, Runnable task) {
		Thread thread = new Thread(task, name);
		thread.setDaemon(true);
		thread.start();
	}

	String address() {
		return this.server.getInetAddress().getHostAddress() + ":" + this.server.getLocalPort();
	}

	synchronized boolean beat() {
		this.sequence++;
		String body = "{\"service\":\"" + this.service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + this.zone
				+ "\",\"version\":\"v1\",\"slots\":64,\"state\":\"" + this.state
				+ "\",\"cold-left-ms\":0,\"sequence\":" + this.sequence + ",\"born\":" + this.born + "}";
		for (int i = 0; i < 3; i++) {
			if (this.control.call(i, "PUT", "/instances/" + this.id, body) / 100 == 2) {
				return true;
			}
		}
		return false;
	}

	/** Crashes and starts again under the id and at the address that it had. */
	synchronized void restart() throws IOException {
		for (Socket socket : this.sockets) {
			socket.close();
		}
		this.born = System.currentTimeMillis();
		this.sequence = 0;
		this.state = "ready";
	}

	private void accept() {
		while (true) {
			try {
				Socket socket = this.server.accept();
				thread("connection", () -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		this.sockets.add(socket);
		try (socket) {
			InputStream input = new BufferedInputStream(socket.getInputStream());
			boolean kept = true;
			for (String line = Rig.line(input); line != null && kept; line = kept ? Rig.line(input) : null) {
				Request request = new Request(this, line, socket);
				for (line = Rig.line(input); line != null && !line.isEmpty(); line = Rig.line(input)) {
					int colon = line.indexOf(':');
					request.headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT),
							line.substring(colon + 1).trim());
				}
				request.body = input.readNBytes(Integer.parseInt(request.headers.getOrDefault("content-length", "0")));
				request.arrivedMillis = this.rig.millis();
				if (!this.id.equals(request.headers.getOrDefault("x-expect-instance", this.id))) {
					request.answer("421 Misdirected Request", "X-Not-Executed: 1\r\n", "");
					continue;
				}
				this.arrivals.add(request);
				kept = this.behaviour.serve(request);
			}
		}
		catch (Exception ex) {
			// the gateway closed the connection
		}
		finally {
			this.sockets.remove(socket);
		}
	}

}
