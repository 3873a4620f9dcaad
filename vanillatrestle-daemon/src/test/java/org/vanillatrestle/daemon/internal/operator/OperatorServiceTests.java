package org.vanillatrestle.daemon.internal.operator;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.daemon.internal.pipeline.BearerKeys;
import org.vanillatrestle.daemon.internal.settings.OperatorSettings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link OperatorService}.
 */
class OperatorServiceTests {

	private static final String PATH = "/v1/contracts/himdugdha";

	private final FakeGateway gateway = new FakeGateway();

	private final OperatorService service = new OperatorService(
			new OperatorKeys(List.of(new OperatorSettings("asha", BearerKeys.sha256("secret-1")),
					new OperatorSettings("bina", BearerKeys.sha256("secret-2")))),
			this.gateway, () -> List.of(new RegionStatus(new RegionId("bagmati"), 2, OptionalLong.empty()),
					new RegionStatus(new RegionId("koshi"), 1, OptionalLong.of(60_000))),
			() -> 1_000_000);

	static String document(long revision, int priority) {
		return """
				{ "customer": "himdugdha", "revision": %d, "objective": "COST", "allowedRegions": ["bagmati"],
				  "callers": [ { "name": "clerks", "home": "bagmati", "keySha256": "%s" } ],
				  "services": [ { "name": "sheets", "kind": "MODEL", "models": ["sheet-1"], "priority": %d } ] }
				""".formatted(revision, "0a".repeat(32), priority);
	}

	@Test
	void shouldRefuseAnUnknownKey() {
		OperatorRequest request = new OperatorRequest("GET", PATH, "", Optional.of("wrong"), "");
		assertThat(this.service.handle(request).join().status()).isEqualTo(401);
		request = new OperatorRequest("GET", PATH, "", Optional.empty(), "");
		assertThat(this.service.handle(request).join().status()).isEqualTo(401);
	}

	@Test
	void shouldReturnTheSameIndexForARepeatedChange() {
		OperatorAnswer first = send("PUT", PATH, "", document(1, 1));
		OperatorAnswer second = send("PUT", PATH, "", document(1, 1));
		assertThat(first.status()).isEqualTo(200);
		assertThat(first.body().get("outcome").textValue()).isEqualTo("ACCEPTED");
		assertThat(second.body().get("outcome").textValue()).isEqualTo("REPEATED");
		assertThat(second.body().get("index")).isEqualTo(first.body().get("index"));
	}

	@Test
	void shouldReturnTheContractInForceAfterARevisionConflict() {
		send("PUT", PATH, "", document(1, 1));
		OperatorAnswer answer = send("PUT", PATH, "", document(1, 2));
		assertThat(answer.status()).isEqualTo(409);
		assertThat(answer.body().at("/inForce/services/0/priority").intValue()).isEqualTo(1);
	}

	@Test
	void shouldReturnThePathOfAnInvalidField() {
		OperatorAnswer answer = send("PUT", PATH, "", document(1, 1).replace("\"COST\"", "\"FAST\""));
		assertThat(answer.status()).isEqualTo(400);
		assertThat(answer.body().get("path").textValue()).isEqualTo("$.objective");
	}

	@Test
	void shouldReportALostOutcomeAsUnknown() {
		this.gateway.setLosesReplies(true);
		OperatorAnswer answer = send("PUT", PATH, "", document(1, 1));
		assertThat(answer.status()).isEqualTo(504);
		assertThat(answer.body().get("code").textValue()).isEqualTo("OUTCOME_UNKNOWN");
		assertThat(send("GET", PATH, "", "").body().get("revision").longValue()).isEqualTo(1);
	}

	@Test
	void shouldReturnTheLeaderWhenAChangeIsNotAccepted() {
		this.gateway.setLeaderless(true);
		OperatorAnswer answer = send("PUT", PATH, "", document(1, 1));
		assertThat(answer.status()).isEqualTo(503);
		assertThat(answer.body().get("leader").textValue()).isEqualTo("http://127.0.0.9:1");
		assertThat(send("GET", "/v1/contracts", "", "").body().get("latest").booleanValue()).isFalse();
	}

	@Test
	void shouldRemoveUnderTheNextRevision() {
		send("PUT", PATH, "", document(1, 1));
		assertThat(send("DELETE", PATH, "", "").status()).isEqualTo(400);
		assertThat(send("DELETE", PATH, "revision=1", "").status()).isEqualTo(409);
		assertThat(send("DELETE", PATH, "revision=2", "").status()).isEqualTo(200);
		assertThat(send("GET", PATH, "", "").body().get("removed").booleanValue()).isTrue();
		assertThat(send("GET", PATH + "/history", "", "").body().get("revisions")).hasSize(2);
	}

	@Test
	void shouldShowTheRevisionInForcePerRegion() {
		send("PUT", PATH, "", document(1, 1));
		send("PUT", PATH, "", document(2, 2));
		OperatorAnswer answer = send("GET", PATH + "/status", "", "");
		assertThat(answer.body().at("/regions/0/revision").longValue()).isEqualTo(2);
		assertThat(answer.body().at("/regions/1/revision").longValue()).isEqualTo(1);
		assertThat(answer.body().at("/regions/1/unreachableSince").textValue()).isEqualTo("1970-01-01T00:15:40Z");
	}

	@Test
	void shouldShowTheAuditTrail() {
		send("PUT", PATH, "", document(1, 1));
		send("PUT", PATH, "", document(2, 2));
		send("PUT", PATH, "", document(2, 3));
		OperatorAnswer answer = send("GET", "/v1/audit", "customer=himdugdha&since=1970-01-01T00%3A16%3A40Z", "");
		assertThat(answer.body().get("records")).hasSize(3);
		assertThat(answer.body().at("/records/1/changes/0/path").textValue()).isEqualTo("$.services[sheets].priority");
		assertThat(answer.body().at("/records/2/event").textValue()).isEqualTo("CONFLICT");
		assertThat(answer.body().at("/records/2/operator").textValue()).isEqualTo("bina");
		assertThat(send("GET", "/v1/audit", "since=yesterday", "").status()).isEqualTo(400);
	}

	@Test
	void shouldRejectUnsupportedPathsAndMethods() {
		assertThat(send("GET", PATH + "/other", "", "").status()).isEqualTo(404);
		assertThat(send("GET", "/v1/contracts/", "", "").status()).isEqualTo(404);
		assertThat(send("POST", PATH, "", "").status()).isEqualTo(405);
		assertThat(send("GET", PATH, "", "").status()).isEqualTo(404);
	}

	@Test
	void shouldReturnServiceUnavailableWhenTheBookCannotBeRead() {
		this.gateway.setClosed(true);
		assertThat(send("GET", "/v1/contracts", "", "").status()).isEqualTo(503);
	}

	private OperatorAnswer send(String method, String path, String query, String body) {
		return this.service.handle(new OperatorRequest(method, path, query, Optional.of("secret-2"), body)).join();
	}

}
