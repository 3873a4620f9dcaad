package org.vanillatrestle;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The check by hand and the documented pattern must accept the same names.
 */
class NamesTests {

	@Property
	void shouldAcceptWhatThePatternMatches(@ForAll("texts") String text) {
		assertThat(Names.isValid(text)).isEqualTo(Names.PATTERN.matcher(text).matches());
	}

	@Property
	void shouldAcceptAnyValidName(@ForAll("names") String name) {
		assertThat(Names.isValid(name)).isTrue();
	}

	@Test
	void shouldRefuseEachWrongFirstOrLaterCharacter() {
		for (int character = 0; character <= Character.MAX_VALUE; character++) {
			for (String text : new String[] { (char) character + "a", "a" + (char) character }) {
				assertThat(Names.isValid(text)).as(text).isEqualTo(Names.PATTERN.matcher(text).matches());
			}
		}
	}

	@Test
	void shouldBoundTheLength() {
		assertThat(Names.isValid(null)).isFalse();
		assertThat(Names.isValid("")).isFalse();
		assertThat(Names.isValid("a".repeat(63))).isTrue();
		assertThat(Names.isValid("a".repeat(64))).isFalse();
	}

	@Provide
	Arbitrary<String> texts() {
		return Arbitraries.strings().withChars("aZ09._-/ \n\u00e4").ofMaxLength(70);
	}

	@Provide
	Arbitrary<String> names() {
		Arbitrary<String> first = Arbitraries.strings().alpha().numeric().ofLength(1);
		Arbitrary<String> rest = Arbitraries.strings().alpha().numeric().withChars("._-").ofMaxLength(62);
		return first.flatMap((start) -> rest.map((end) -> start + end));
	}

}
