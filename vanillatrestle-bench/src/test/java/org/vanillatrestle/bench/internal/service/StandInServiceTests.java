package org.vanillatrestle.bench.internal.service;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;

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
 * Tests for {@link StandInService}.
 */
class StandInServiceTests {

	private static final String PAYOUT = """
			{"account": "dairy-7", "amount": 250}""";

	private final HttpClient client = HttpClient.newHttpClient();

	private StandInTarget service;

	@BeforeEach
	void startService() throws IOException {
		this.service = StandInService.start(ServiceSettings.fast("l1", "koshi-1", "ledger", "himdugdha", List.of()));
	}

	@AfterEach
	void closeService() {
		this.service.close();
	}

	@Test
	void shouldLogEachRunByKey() throws Exception {
		assertThat(pay().body()).isEqualTo("{\"payout\":1,\"account\":\"dairy-7\"}");
		assertThat(pay().body()).isEqualTo("{\"payout\":2,\"account\":\"dairy-7\"}");
		assertThat(this.service.runs()).hasSize(2)
			.allMatch((run) -> run.key().equals("k1") && run.outcome() == Run.Outcome.COMPLETED);
		assertThat(get("/ledger/balances/dairy-7").body())
			.isEqualTo("{\"account\":\"dairy-7\",\"balance\":" + (1_000_000 - 2 * 250) + "}");
	}

	@Test
	void shouldFileSubmissions() throws Exception {
		HttpResponse<String> filed = this.client.send(
				request("/submissions").POST(HttpRequest.BodyPublishers.ofString("{\"title\": \"REACH 12\"}")).build(),
				HttpResponse.BodyHandlers.ofString());
		assertThat(filed.body()).isEqualTo("{\"submission\":\"submission-1\"}");
		assertThat(get("/submissions/submission-1").body()).contains("REACH 12");
		assertThat(get("/submissions/submission-2").statusCode()).isEqualTo(404);
	}

	@ParameterizedTest
	@EnumSource(value = FaultMode.class, names = { "CRASH_AFTER", "GARBAGE", "SHORT" })
	void shouldRunThePayoutWhoseAnswerBreaks(FaultMode mode) {
		this.service.fault(Fault.of(mode, 0));
		assertThatExceptionOfType(IOException.class).isThrownBy(this::pay);
		assertThat(this.service.runs()).isNotEmpty().allMatch((run) -> run.outcome() == Run.Outcome.BROKEN);
	}

	@Test
	void shouldRefuseOnCommandWithoutARun() throws Exception {
		this.service.fault(Fault.of(FaultMode.REFUSE, 0));
		assertThat(pay().statusCode()).isEqualTo(503);
		assertThat(this.service.runs()).isEmpty();
	}

	private HttpResponse<String> pay() throws IOException, InterruptedException {
		HttpRequest request = request("/payouts").header("Idempotency-Key", "k1")
			.POST(HttpRequest.BodyPublishers.ofString(PAYOUT))
			.build();
		return this.client.send(request, HttpResponse.BodyHandlers.ofString());
	}

	private HttpResponse<String> get(String path) throws IOException, InterruptedException {
		return this.client.send(request(path).build(), HttpResponse.BodyHandlers.ofString());
	}

	private HttpRequest.Builder request(String path) {
		return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + this.service.port() + path));
	}

}
