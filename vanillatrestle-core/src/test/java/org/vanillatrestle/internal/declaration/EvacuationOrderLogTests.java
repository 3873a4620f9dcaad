package org.vanillatrestle.internal.declaration;

import java.util.OptionalLong;
import java.util.TreeSet;

import org.junit.jupiter.api.Test;
import org.vanillatrestle.DataCentreId;

import static org.assertj.core.api.Assertions.assertThat;

class EvacuationOrderLogTests {

	private static final DataCentreId KOSHI = new DataCentreId("koshi-a");

	private static final DataCentreId LUMBINI = new DataCentreId("lumbini-a");

	private final EvacuationOrderLog orders = new EvacuationOrderLog();

	private DeclaredState state = state(5);

	@Test
	void shouldRebaseOrderOverDeclarationsAndOrdersForOtherDataCentres() {
		apply(6, new DeclarationCommand.Declare(2, new byte[] { 1 }));
		apply(7, order(LUMBINI, true, 6));
		assertThat(rebasedIndex(order(KOSHI, true, 5))).hasValue(7);
	}

	@Test
	void shouldNotRebaseOrderOverLaterOrderForSameDataCentre() {
		apply(6, order(KOSHI, true, 5));
		assertThat(rebasedIndex(order(KOSHI, false, 5))).hasValue(5);
		apply(7, new DeclarationCommand.Declare(2, new byte[] { 1 }));
		assertThat(rebasedIndex(order(KOSHI, false, 6))).hasValue(7);
	}

	// an order that changes nothing is acknowledged as well
	@Test
	void shouldNotRebaseOrderOverLaterOrderWithoutEffect() {
		apply(6, order(KOSHI, true, 5));
		apply(8, order(KOSHI, true, 6));
		assertThat(this.state.index()).isEqualTo(6);
		apply(9, new DeclarationCommand.Declare(2, new byte[] { 1 }));
		assertThat(rebasedIndex(order(KOSHI, false, 6))).hasValue(6);
	}

	@Test
	void shouldRebaseOrderThatAnUnrelatedChangeHasOvertaken() {
		apply(6, new DeclarationCommand.Declare(2, new byte[] { 1 }));
		apply(7, order(KOSHI, true, 5));
		assertThat(this.state.isEvacuated(KOSHI, true)).isFalse();
		assertThat(rebasedIndex(order(KOSHI, true, 5))).hasValue(6);
	}

	@Test
	void shouldNotRebaseOrderOverRestoredSnapshot() {
		this.orders.restore(8);
		this.state = state(9);
		assertThat(rebasedIndex(order(KOSHI, true, 7))).hasValue(7);
		assertThat(rebasedIndex(order(KOSHI, true, 8))).hasValue(9);
	}

	@Test
	void shouldNotRebaseOrderToOlderState() {
		assertThat(rebasedIndex(order(KOSHI, true, 9))).hasValue(9);
	}

	@Test
	void shouldLeaveOrderForAnyStateAsItIs() {
		assertThat(this.orders.rebase(new DeclarationCommand.Evacuate(KOSHI, true, OptionalLong.empty()), state(9))
			.expectedIndex()).isEmpty();
	}

	private void apply(long index, DeclarationCommand command) {
		this.state = this.state.after(index, command);
		this.orders.apply(index, command, this.state);
	}

	private OptionalLong rebasedIndex(DeclarationCommand.Evacuate order) {
		return this.orders.rebase(order, this.state).expectedIndex();
	}

	private static DeclarationCommand.Evacuate order(DataCentreId dataCentre, boolean evacuated, long expectedIndex) {
		return new DeclarationCommand.Evacuate(dataCentre, evacuated, OptionalLong.of(expectedIndex));
	}

	private static DeclaredState state(long index) {
		return new DeclaredState(index, 1, new byte[0], new TreeSet<>());
	}

}
