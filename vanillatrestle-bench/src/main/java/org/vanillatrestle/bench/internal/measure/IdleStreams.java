package org.vanillatrestle.bench.internal.measure;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Streams that were begun and have fallen silent.
 * <p>
 * Not thread safe. Closing it closes every connection.
 */
final class IdleStreams implements AutoCloseable {

	private static final int TIMEOUT_MILLIS = 10_000;

	private static final int HEAD_BYTES = 15;

	private final List<Socket> sockets = new ArrayList<>();

	/**
	 * Begins streams and waits until the answer of each has begun.
	 * @param address the entry VM
	 * @param model the model
	 * @param bearerKey the caller's key
	 * @param count how many streams
	 * @throws IOException if a stream doesn't begin
	 */
	void begin(InetSocketAddress address, String model, String bearerKey, int count) throws IOException {
		byte[] request = request(model, bearerKey);
		for (int i = 0; i < count; i++) {
			Socket socket = new Socket();
			this.sockets.add(socket);
			socket.connect(address, TIMEOUT_MILLIS);
			socket.setSoTimeout(TIMEOUT_MILLIS);
			OutputStream out = socket.getOutputStream();
			out.write(request);
		}
		for (Socket socket : this.sockets) {
			String head = new String(socket.getInputStream().readNBytes(HEAD_BYTES), StandardCharsets.US_ASCII);
			if (!head.equals("HTTP/1.1 200 OK")) {
				throw new IOException("a stream did not begin: " + head);
			}
		}
	}

	private static byte[] request(String model, String bearerKey) {
		String body = "{\"model\":\"" + model + "\",\"max_tokens\":100,\"stream\":true,"
				+ "\"messages\":[{\"role\":\"user\",\"content\":\"Wait.\"}]}";
		String head = "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nContent-Type: application/json\r\n"
				+ "Authorization: Bearer " + bearerKey + "\r\nContent-Length: " + body.length() + "\r\n\r\n";
		return (head + body).getBytes(StandardCharsets.US_ASCII);
	}

	@Override
	public void close() throws IOException {
		for (Socket socket : this.sockets) {
			socket.close();
		}
	}

}
