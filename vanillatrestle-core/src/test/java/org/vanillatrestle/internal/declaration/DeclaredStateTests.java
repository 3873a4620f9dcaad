package org.vanillatrestle.internal.declaration;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.vanillatrestle.DataCentreId;

import static org.assertj.core.api.Assertions.assertThat;

class DeclaredStateTests {

	private static final DataCentreId DATA_CENTRE = new DataCentreId("koshi-a");

	@Test
	void shouldPutTheHigherVersionInForce() {
		DeclaredState state = DeclaredState.NONE.after(1, declare(3, "a")).after(2, declare(7, "b"));
		assertThat(state.version()).isEqualTo(7);
		assertThat(state.document()).isEqualTo(bytes("b"));
		assertThat(state.index()).isEqualTo(2);
	}

	@Test
	void shouldIgnoreOtherContentWithTheSameVersion() {
		DeclaredState current = DeclaredState.NONE.after(1, declare(3, "a"));
		assertThat(current.after(2, declare(3, "b"))).isSameAs(current);
	}

	@Test
	void shouldIgnoreALowerVersion() {
		DeclaredState current = DeclaredState.NONE.after(1, declare(3, "a"));
		assertThat(current.after(2, declare(2, "b"))).isSameAs(current);
	}

	@Test
	void shouldKeepEvacuationsWhenTheDeclarationChanges() {
		DeclaredState state = DeclaredState.NONE.after(1, declare(1, "a"))
			.after(2, evacuate(true))
			.after(3, declare(2, "b"));
		assertThat(state.evacuated()).containsExactly(DATA_CENTRE);
	}

	@Test
	void shouldEndAnEvacuationOnlyOnce() {
		DeclaredState state = DeclaredState.NONE.after(1, evacuate(true)).after(2, evacuate(false));
		assertThat(state.evacuated()).isEmpty();
		assertThat(state.after(3, evacuate(false))).isSameAs(state);
	}

	// guards against a delayed order that undoes the opposite one, which was acknowledged
	// meanwhile
	@Test
	void shouldIgnoreAnOrderThatOtherChangesHaveOvertaken() {
		DeclaredState evacuated = DeclaredState.NONE.after(1, evacuate(true));
		DeclarationCommand late = new DeclarationCommand.Evacuate(DATA_CENTRE, false, OptionalLong.of(1));
		DeclaredState again = evacuated.after(2, evacuate(false)).after(3, evacuate(true));
		assertThat(again.after(4, late)).isSameAs(again);
		assertThat(evacuated.after(2, late).evacuated()).isEmpty();
	}

	@Property
	void shouldKeepTheFirstContentOfTheHighestVersion(@ForAll @Size(min = 1, max = 30) int[] randomNumbers) {
		DeclaredState state = DeclaredState.NONE;
		long highest = 0;
		String content = "";
		for (int i = 0; i < randomNumbers.length; i++) {
			long version = 1 + Math.floorMod(randomNumbers[i], 6);
			state = state.after(i + 1, declare(version, "content " + i));
			if (version > highest) {
				highest = version;
				content = "content " + i;
			}
		}
		assertThat(state.version()).isEqualTo(highest);
		assertThat(state.document()).isEqualTo(bytes(content));
	}

	@Property
	void shouldSelectServicesByWeight(@ForAll @IntRange(min = 0, max = 999) int draw) {
		DeclaredRoute route = Declarations.routeWithWeights(90, 0, 10);
		String selected = route.selectService(draw / 1000.0).value();
		assertThat(selected).isEqualTo((draw < 900) ? "first" : "third");
	}

	private static DeclarationCommand evacuate(boolean evacuated) {
		return new DeclarationCommand.Evacuate(DATA_CENTRE, evacuated, OptionalLong.empty());
	}

	private static DeclarationCommand declare(long version, String content) {
		return new DeclarationCommand.Declare(version, bytes(content));
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

}
