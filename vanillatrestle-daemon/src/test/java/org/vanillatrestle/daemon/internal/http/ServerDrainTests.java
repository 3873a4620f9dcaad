package org.vanillatrestle.daemon.internal.http;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vanillatrestle.daemon.internal.settings.HostAndPort;
import org.vanillatrestle.daemon.internal.settings.HttpLimits;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A server that stops while its event loop is late, as on a busy machine.
 */
class ServerDrainTests {

	private static final String REQUEST = "GET /unknown HTTP/1.1\r\nHost: a\r\n\r\n";

	private static final int READ_TIMEOUT_MILLIS = 5_000;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.group.next();

	private final HttpServer server = new HttpServer(this.loop, HttpLimits.DEFAULT, new HttpRoutes(List.of()));

	private int port;

	@BeforeEach
	void listen() throws IOException {
		this.port = this.server.listen(new HostAndPort("127.0.0.1", 0));
	}

	@AfterEach
	void stop() {
		this.server.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
	}

	@Test
	void shouldAnswerWhatArrivedBeforeTheServerStoppedButWasNotYetRead() throws Exception {
		try (Socket kept = connect()) {
			send(kept);
			assertThat(answer(kept)).startsWith("HTTP/1.1 404 ");
			CountDownLatch sent = new CountDownLatch(1);
			this.loop.execute(() -> await(sent));
			Thread drain = new Thread(() -> new ServerDrain(this.loop, List.of(this.server)).run(0, 1_000), "drain");
			drain.start();
			try (Socket fresh = connect()) {
				send(kept);
				send(fresh);
				awaitStopQueued(drain);
				sent.countDown();
				assertThat(answer(kept)).startsWith("HTTP/1.1 503 ").contains("\"NOT_RUN\"");
				assertThat(answer(fresh)).startsWith("HTTP/1.1 503 ").contains("\"NOT_RUN\"");
				assertThat(kept.getInputStream().read()).isNegative();
			}
			drain.join();
		}
	}

	// the drain waits for the loop, without a time, once it has told it to stop
	private static void awaitStopQueued(Thread drain) throws InterruptedException {
		while (drain.getState() != Thread.State.WAITING) {
			assertThat(drain.isAlive()).isTrue();
			TimeUnit.MILLISECONDS.sleep(1);
		}
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private Socket connect() throws IOException {
		Socket socket = new Socket("127.0.0.1", this.port);
		socket.setSoTimeout(READ_TIMEOUT_MILLIS);
		return socket;
	}

	private static void send(Socket socket) throws IOException {
		socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
	}

	// head and body come in one piece or two
	private static String answer(Socket socket) throws IOException {
		StringBuilder text = new StringBuilder();
		for (int read = socket.getInputStream().read(); read >= 0; read = socket.getInputStream().read()) {
			text.append((char) read);
			if (text.toString().endsWith("}") && text.indexOf("\r\n\r\n") > 0) {
				return text.toString();
			}
		}
		return text.toString();
	}

}
