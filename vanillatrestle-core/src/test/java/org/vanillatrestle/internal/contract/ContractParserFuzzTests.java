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
 * Byte-level fuzzing of the contract parser: whatever the bytes, it gives a contract that
 * can be written and read again, or an error with a path.
 */
class ContractParserFuzzTests {

	private static final String VALID = """
			{"customer":"himdugdha","revision":7,"objective":"COST","allowedRegions":["bagmati","koshi"],
			"callers":[{"name":"clerks","home":"bagmati","keySha256":"%s"}],
			"services":[{"name":"sheets","kind":"MODEL","models":["sheet-1"],"maxInFlight":200},
			{"name":"ledger","kind":"PLAIN","calls":[{"method":"POST","path":"/payouts/*","repeat":"AT_MOST_ONCE"}]}]}
			""".formatted("0a".repeat(32));

	private static final String[] PIECES = { "{", "}", "[", "]", "null", "-1", "1e99", "9223372036854775808", "\"\"",
			"\"\\u0000\"", ",", ":", "true", "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[", "{\"a\":{}}", "\u00ff" };

	@Property(seed = "4714", tries = 3000, shrinking = ShrinkingMode.OFF)
	void shouldGiveAContractOrAnErrorWithAPath(@ForAll long seed) throws InvalidDocumentException {
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
		StringBuilder text = new StringBuilder(VALID);
		int mutations = 1 + random.nextInt(4);
		for (int i = 0; i < mutations; i++) {
			int from = random.nextInt(text.length());
			int to = Math.min(text.length(), from + random.nextInt(12));
			switch (random.nextInt(4)) {
				case 0 -> text.replace(from, to, PIECES[random.nextInt(PIECES.length)]);
				case 1 -> text.delete(from, to);
				case 2 -> text.insert(from, text.substring(from, to));
				default -> text.setCharAt(from, (char) random.nextInt(300));
			}
		}
		return new String(text.toString().getBytes(StandardCharsets.UTF_8), StandardCharsets.UTF_8);
	}

}
