package org.vanillatrestle.internal.contract;

import java.nio.charset.StandardCharsets;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.vanillatrestle.Contract;
import org.vanillatrestle.Contracts;
import org.vanillatrestle.InvalidDocumentException;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Byte-level fuzz tests of the contract parser. For any input, the parser must return a
 * contract that can be written and read again, or fail with the path of the invalid
 * element.
 */
class ContractParserFuzzTests {

	private static final String VALID_DOCUMENT = """
			{"customer":"himdugdha","revision":7,"objective":"COST","allowedRegions":["bagmati","koshi"],
			"callers":[{"name":"clerks","home":"bagmati","keySha256":"%s"}],
			"services":[{"name":"sheets","kind":"MODEL","models":["sheet-1"],"maxInFlight":200},
			{"name":"ledger","kind":"PLAIN","calls":[{"method":"POST","path":"/payouts/*","repeat":"AT_MOST_ONCE"}]}]}
			""".formatted("0a".repeat(32));

	private static final String[] INSERTED_FRAGMENTS = { "{", "}", "[", "]", "null", "-1", "1e99",
			"9223372036854775808", "\"\"", "\"\\u0000\"", ",", ":", "true", "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[",
			"{\"a\":{}}", "\u00ff" };

	@Property(seed = "4714", tries = 3000, shrinking = ShrinkingMode.OFF)
	void shouldReturnAContractOrAnErrorWithAPath(@ForAll long seed) throws InvalidDocumentException {
		String document = mutate(new Random(seed));
		Contract contract;
		try {
			contract = Contracts.parse(document);
		}
		catch (InvalidDocumentException ex) {
			assertThat(ex.path()).startsWith("$");
			return;
		}
		assertThat(Contracts.parse(Contracts.write(contract))).isEqualTo(contract);
	}

	private static String mutate(Random random) {
		StringBuilder mutated = new StringBuilder(VALID_DOCUMENT);
		int mutationCount = 1 + random.nextInt(4);
		for (int i = 0; i < mutationCount; i++) {
			int from = random.nextInt(mutated.length());
			int to = Math.min(mutated.length(), from + random.nextInt(12));
			switch (random.nextInt(4)) {
				case 0 -> mutated.replace(from, to, INSERTED_FRAGMENTS[random.nextInt(INSERTED_FRAGMENTS.length)]);
				case 1 -> mutated.delete(from, to);
				case 2 -> mutated.insert(from, mutated.substring(from, to));
				default -> mutated.setCharAt(from, (char) random.nextInt(300));
			}
		}
		return new String(mutated.toString().getBytes(StandardCharsets.UTF_8), StandardCharsets.UTF_8);
	}

}
