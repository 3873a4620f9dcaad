package org.vanillatrestle.internal.declaration;

import java.util.OptionalLong;

import org.vanillatrestle.DataCentreId;

/**
 * A command that changes the declared state once the replicated log has committed it.
 * <p>
 * Immutable and thread safe, provided that callers do not modify the byte arrays.
 */
public sealed interface DeclarationCommand {

	/**
	 * Puts a declaration in force, unless one with the same or a higher version is
	 * already in force.
	 *
	 * @param version the version
	 * @param document the declaration as the operator sent it
	 */
	record Declare(long version, byte[] document) implements DeclarationCommand {
	}

	/**
	 * Starts or ends the evacuation of a data centre, unless the state has changed since
	 * the order was given. An order may be delayed on its way until after a later one was
	 * acknowledged.
	 *
	 * @param dataCentre the data centre
	 * @param evacuated whether the data centre is evacuated, which means that its targets
	 * receive no requests
	 * @param expectedIndex the index of the state that the command changes, empty for any
	 * state
	 */
	record Evacuate(DataCentreId dataCentre, boolean evacuated,
			OptionalLong expectedIndex) implements DeclarationCommand {

		/**
		 * Checks whether a state is the one that the command changes.
		 * @param state the state
		 * @return whether no other change has overtaken the command
		 */
		boolean appliesTo(DeclaredState state) {
			return this.expectedIndex.isEmpty() || this.expectedIndex.getAsLong() == state.index();
		}

	}

}
