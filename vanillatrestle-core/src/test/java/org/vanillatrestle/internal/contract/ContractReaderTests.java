package org.vanillatrestle.internal.contract;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.vanillatrestle.Contract;
import org.vanillatrestle.Contracts;
import org.vanillatrestle.InvalidDocumentException;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.Repeat;
import org.vanillatrestle.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests for {@link ContractReader} and {@link ContractWriter}.
 */
class ContractReaderTests {

	private static final String VALID_DOCUMENT = """
			{ "customer": "himdugdha", "revision": 7, "objective": "TAIL_LATENCY",
			  "allowedRegions": ["bagmati", "koshi", "lumbini"],
			  "callers": [ { "name": "clerks", "home": "bagmati", "keySha256": "%s" } ],
			  "services": [
			    { "name": "sheets", "kind": "MODEL", "models": ["sheet-1"], "maxInFlight": 200 },
			    { "name": "ledger", "kind": "PLAIN", "calls": [
			      { "method": "POST", "path": "/payouts", "repeat": "AT_MOST_ONCE" } ] } ] }
			""".formatted("0a".repeat(32));

	@Test
	void shouldReadAWrittenContract() throws InvalidDocumentException {
		Contract contract = Contracts.parse(VALID_DOCUMENT);
		assertThat(Contracts.parse(Contracts.write(contract))).isEqualTo(contract);
		assertThat(contract.allows(new RegionId("koshi"))).isTrue();
		assertThat(contract.service(new ServiceName("ledger")).orElseThrow().ruleFor("POST", "/payouts").repeat())
			.isEqualTo(Repeat.AT_MOST_ONCE);
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			"revision": 7            | "revision": "7"              | $.revision
			"TAIL_LATENCY"           | "FAST"                       | $.objective
			"home": "bagmati"        | "home": "virginia"           | $.callers[0].home
			"maxInFlight": 200       | "maxInflight": 200           | $.services[0].maxInflight
			"maxInFlight": 200       | "maxInFlight": 0             | $.services[0].maxInFlight
			"path": "/payouts"       | "path": "payouts"            | $.services[1].calls[0].path
			"koshi", "lumbini"       | "koshi", "koshi"             | $.allowedRegions[2]
			"models": ["sheet-1"]    | "models": []                 | $.services[0].models
			"name": "ledger"         | "name": "sheets"             | $.services[1].name
			"name": "ledger"         | "name": "health"             | $.services[1].name
			""")
	void shouldReportThePathOfAnInvalidElement(String valid, String invalid, String path) {
		assertThatExceptionOfType(InvalidDocumentException.class)
			.isThrownBy(() -> Contracts.parse(VALID_DOCUMENT.replace(valid, invalid)))
			.satisfies((ex) -> assertThat(ex.path()).isEqualTo(path));
	}

	@Test
	void shouldRejectTextThatIsNotJson() {
		assertThatExceptionOfType(InvalidDocumentException.class).isThrownBy(() -> Contracts.parse("{ \"customer\": "))
			.withMessageContaining("line 1");
	}

}
