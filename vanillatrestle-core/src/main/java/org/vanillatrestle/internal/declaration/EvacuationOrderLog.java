package org.vanillatrestle.internal.declaration;

import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;

import org.vanillatrestle.DataCentreId;

/**
 * Remembers when the evacuation of each data centre was last ordered, so that an order is
 * overtaken only by later orders for its data centre and not by unrelated changes.
 * <p>
 * Invariant: an order that was given before another order for the same data centre was
 * applied is never rebased. Known on one replica only, from the commands that it has
 * applied; a restored snapshot counts as an order for every data centre. Thread safe,
 * provided that a state is published only after its commands were recorded here.
 */
public final class EvacuationOrderLog {

	private final Map<DataCentreId, Long> orderIndexes = new ConcurrentHashMap<>();

	private volatile long restoredIndex;

	/**
	 * Records a command before its effect is published. An order that was overtaken is
	 * not acknowledged and may be proposed again, so that it doesn't count.
	 * @param index the log index of the command
	 * @param command the command
	 * @param after the state after the command
	 */
	public void apply(long index, DeclarationCommand command, DeclaredState after) {
		if (command instanceof DeclarationCommand.Evacuate order
				&& after.isEvacuated(order.dataCentre(), order.evacuated())) {
			this.orderIndexes.put(order.dataCentre(), index);
		}
	}

	/**
	 * Records that a snapshot replaces the commands up to an index.
	 * @param index the log index of the last command that the snapshot contains
	 */
	public void restore(long index) {
		this.restoredIndex = index;
	}

	/**
	 * Lets an order change a newer state than the one it was given for, if no other order
	 * for its data centre was applied in between.
	 * @param order the order
	 * @param current the latest published state of this replica
	 * @return the order for the current state, or the order itself if it was overtaken
	 */
	public DeclarationCommand.Evacuate rebase(DeclarationCommand.Evacuate order, DeclaredState current) {
		if (isOvertaken(order) || order.expectedIndex().getAsLong() >= current.index()) {
			return order;
		}
		return new DeclarationCommand.Evacuate(order.dataCentre(), order.evacuated(), OptionalLong.of(current.index()));
	}

	/**
	 * Checks whether another order has overtaken an order.
	 * @param order the order
	 * @return whether another order for its data centre may have taken effect since it
	 * was given
	 */
	public boolean isOvertaken(DeclarationCommand.Evacuate order) {
		long lastOrderIndex = Math.max(this.restoredIndex, this.orderIndexes.getOrDefault(order.dataCentre(), 0L));
		return order.expectedIndex().isEmpty() || order.expectedIndex().getAsLong() < lastOrderIndex;
	}

}
