package org.vanillatrestle.internal.declaration;

import java.nio.charset.StandardCharsets;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.vanillatrestle.DataCentreId;

import static org.assertj.core.api.Assertions.assertThat;

class DeclaredStateTests {

	private static final DataCentreId ZONE = new DataCentreId("koshi-a");

	@Test
	void shouldPutTheHigherVersionInForce() {
		DeclaredState state = DeclaredState.NONE.after(1, declare(3, "a")).after(2, declare(7, "b"));
		assertThat(state.version()).isEqualTo(7);
		assertThat(state.document()).isEqualTo(bytes("b"));
		assertThat(state.index()).isEqualTo(2);
	}

	@Test
	void shouldNotObeyOtherContentUnderTheVersionHeld() {
		DeclaredState held = DeclaredState.NONE.after(1, declare(3, "a"));
		assertThat(held.after(2, declare(3, "b"))).isSameAs(held);
	}

	@Test
	void shouldNotGoBackToAnOlderVersion() {
		DeclaredState held = DeclaredState.NONE.after(1, declare(3, "a"));
		assertThat(held.after(2, declare(2, "b"))).isSameAs(held);
	}

	@Test
	void shouldKeepEvacuationsOverDeclarations() {
		DeclaredState state = DeclaredState.NONE.after(1, declare(1, "a"))
			.after(2, new DeclarationCommand.Evacuate(ZONE, true))
			.after(3, declare(2, "b"));
		assertThat(state.evacuated()).containsExactly(ZONE);
	}

	@Test
	void shouldTakeAnEvacuationBackOnce() {
		DeclaredState state = DeclaredState.NONE.after(1, new DeclarationCommand.Evacuate(ZONE, true))
			.after(2, new DeclarationCommand.Evacuate(ZONE, false));
		assertThat(state.evacuated()).isEmpty();
		assertThat(state.after(3, new DeclarationCommand.Evacuate(ZONE, false))).isSameAs(state);
	}

	@Property
	void shouldHoldTheFirstContentOfTheHighestVersion(@ForAll @Size(min = 1, max = 30) int[] draws) {
		DeclaredState state = DeclaredState.NONE;
		long highest = 0;
		String content = "";
		for (int i = 0; i < draws.length; i++) {
			long version = 1 + Math.floorMod(draws[i], 6);
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
	void shouldPickServicesByTheirWeights(@ForAll @IntRange(min = 0, max = 999) int draw) {
		DeclaredRoute route = Declarations.split(90, 0, 10);
		String picked = route.pickService(draw / 1000.0).value();
		assertThat(picked).isEqualTo((draw < 900) ? "first" : "third");
	}

	private static DeclarationCommand declare(long version, String content) {
		return new DeclarationCommand.Declare(version, bytes(content));
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

}
