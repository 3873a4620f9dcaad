package org.vanillatrestle.bench.internal.engine;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.vanillatrestle.bench.internal.standin.Fault;
import org.vanillatrestle.bench.internal.standin.FaultMode;
import org.vanillatrestle.bench.internal.standin.Run;
import org.vanillatrestle.bench.internal.standin.StandInTarget;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests for {@link StandInEngine}.
 */
class StandInEngineTests {

	private static final String STREAM = """
			{"model": "draft-1", "max_tokens": 5, "stream": true,
			 "messages": [{"role": "user", "content": "Summarise annex VII."}]}""";

	private static final String WHOLE = STREAM.replace("true", "false");

	private final HttpClient client = HttpClient.newHttpClient();

	private StandInTarget engine;

	@BeforeEach
	void startEngine() throws IOException {
		this.engine = StandInEngine.start(EngineSettings.fast("e1", "sanjose-1", "drafts", "draft-1", List.of()));
	}

	@AfterEach
	void closeEngine() {
		this.engine.close();
	}

	@Test
	void shouldStreamTheTextThatFollowsFromTheRequest() throws Exception {
		TokenText text = ChatRequest.read(STREAM).text();
		HttpResponse<String> response = send(STREAM, "X-Unused", "0");
		assertThat(response.body()).endsWith("data: [DONE]\n\n").contains("\"completion_tokens\":5");
		assertThat(contents(response.body())).containsExactly(text.token(0), text.token(1), text.token(2),
				text.token(3), text.token(4));
	}

	@Test
	void shouldResumeFromAnOffset() throws Exception {
		TokenText text = ChatRequest.read(STREAM).text();
		HttpResponse<String> response = send(STREAM, "Vanillatrestle-Resume-Offset", "3");
		assertThat(response.headers().firstValue("Vanillatrestle-Resumed")).contains("3");
		assertThat(contents(response.body())).containsExactly(text.token(3), text.token(4));
	}

	@Test
	void shouldResumeAfterTheLastChunk() throws Exception {
		assertThat(send(STREAM, "Vanillatrestle-Resume-Offset", "6").body()).isEqualTo("data: [DONE]\n\n");
	}

	@Test
	void shouldAnswerInOnePiece() throws Exception {
		HttpResponse<String> response = send(WHOLE, "X-Unused", "0");
		assertThat(response.body()).contains(ChatRequest.read(WHOLE).answer());
	}

	@Test
	void shouldRefuseOnCommandWithoutARun() throws Exception {
		this.engine.fault(Fault.of(FaultMode.REFUSE, 0));
		assertThat(send(STREAM, "X-Unused", "0").statusCode()).isEqualTo(503);
		assertThat(this.engine.runs()).isEmpty();
	}

	@ParameterizedTest
	@EnumSource(value = FaultMode.class, names = { "GARBAGE", "SHORT" })
	void shouldBreakAStreamAfterSomeChunks(FaultMode mode) throws Exception {
		this.engine.fault(Fault.of(mode, 2));
		HttpResponse<String> response = send(STREAM, "X-Unused", "0");
		assertThat(response.body()).doesNotContain("[DONE]");
		assertThat(this.engine.runs()).singleElement().satisfies((run) -> {
			assertThat(run.sentChunks()).isEqualTo(2);
			assertThat(run.outcome()).isEqualTo(Run.Outcome.BROKEN);
		});
	}

	@Test
	void shouldResetTheConnectionOnACrash() {
		this.engine.fault(Fault.of(FaultMode.CRASH_AFTER, 2));
		assertThatExceptionOfType(IOException.class).isThrownBy(() -> send(STREAM, "X-Unused", "0"));
	}

	@Test
	void shouldCancelWhenTheConnectionCloses() throws Exception {
		String endless = STREAM.replace("\"max_tokens\": 5", "\"max_tokens\": 1000000");
		try (Socket socket = new Socket("127.0.0.1", this.engine.port())) {
			String head = "POST /v1/chat/completions HTTP/1.1\r\nHost: e1\r\nContent-Length: " + endless.length();
			socket.getOutputStream().write((head + "\r\n\r\n" + endless).getBytes(StandardCharsets.UTF_8));
			assertThat(socket.getInputStream().read()).isEqualTo('H');
		}
		while (this.engine.runs().get(0).outcome() == Run.Outcome.RUNNING) {
			TimeUnit.MILLISECONDS.sleep(1);
		}
		assertThat(this.engine.runs().get(0).outcome()).isEqualTo(Run.Outcome.CANCELLED);
	}

	private HttpResponse<String> send(String body, String header, String value)
			throws IOException, InterruptedException {
		return this.client.send(request(body, header, value), HttpResponse.BodyHandlers.ofString());
	}

	private HttpRequest request(String body, String header, String value) {
		return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + this.engine.port() + "/v1/chat/completions"))
			.header(header, value)
			.POST(HttpRequest.BodyPublishers.ofString(body))
			.build();
	}

	private static List<String> contents(String events) {
		return events.lines()
			.filter((line) -> line.contains("\"content\":"))
			.map((line) -> line.replaceAll(".*\"content\":\"([^\"]*)\".*", "$1"))
			.toList();
	}

}
