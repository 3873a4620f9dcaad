package org.vanillatrestle.bench.matrix;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

/**
 * Sends requests whose every header and byte a test chooses. Thread safe.
 */
final class RawCaller {

	private final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final InetSocketAddress address;

	RawCaller(InetSocketAddress address) {
		this.address = address;
	}

	HttpResponse<String> send(String method, String path, String body, String... headers)
			throws IOException, InterruptedException {
		return this.http.send(request(method, path, body, headers), HttpResponse.BodyHandlers.ofString());
	}

	CompletableFuture<HttpResponse<String>> sendLater(String method, String path, String body, String... headers) {
		return this.http.sendAsync(request(method, path, body, headers), HttpResponse.BodyHandlers.ofString());
	}

	private HttpRequest request(String method, String path, String body, String... headers) {
		HttpRequest.Builder request = HttpRequest
			.newBuilder(URI.create("http://127.0.0.1:" + this.address.getPort() + path))
			.method(method, HttpRequest.BodyPublishers.ofString(body));
		for (int i = 0; i < headers.length; i += 2) {
			request.header(headers[i], headers[i + 1]);
		}
		return request.build();
	}

	/**
	 * Sends a request and leaves once some bytes of the answer have come, or at once.
	 * @param path the path
	 * @param body the body of the POST
	 * @param key the caller's key
	 * @param onceKey the idempotency key, empty for none
	 * @param bytes how many bytes of the answer to wait for
	 * @throws IOException if the connection breaks first
	 */
	void sendAndLeave(String path, String body, String key, String onceKey, int bytes) throws IOException {
		try (Socket socket = new Socket(this.address.getAddress(), this.address.getPort())) {
			String once = onceKey.isEmpty() ? "" : "Idempotency-Key: " + onceKey + "\r\n";
			String head = "POST " + path + " HTTP/1.1\r\nHost: vm\r\nAuthorization: Bearer " + key + "\r\n" + once
					+ "Content-Length: " + body.length() + "\r\n\r\n";
			socket.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
			socket.getInputStream().readNBytes(bytes);
		}
	}

}
