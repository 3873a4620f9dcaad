package org.vanillatrestle.internal.declaration;

import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;

import org.vanillatrestle.DataCentreId;

/**
 * What operators have declared, as of one index of the replicated log.
 * <p>
 * Immutable and thread safe; the document must not be written to. States of one log are
 * ordered by their index: a higher index never has a lower version.
 *
 * @param index the log index of the last change
 * @param version the version in force, 0 before the first
 * @param document the declaration as the operator sent it, empty before the first
 * @param evacuated the data centres whose targets are to get no requests
 */
public record DeclaredState(long index, long version, byte[] document, SortedSet<DataCentreId> evacuated) {

	/**
	 * The state before the first change.
	 */
	public static final DeclaredState NONE = new DeclaredState(0, 0, new byte[0], new TreeSet<>());

	public DeclaredState {
		evacuated = Collections.unmodifiableSortedSet(new TreeSet<>(evacuated));
	}

	public boolean isDeclared() {
		return this.document.length > 0;
	}

	/**
	 * The state after a change.
	 * @param newIndex the change's index
	 * @param command the change
	 * @return the new state; this state if the change has no effect
	 */
	public DeclaredState after(long newIndex, DeclarationCommand command) {
		if (command instanceof DeclarationCommand.Declare declare) {
			boolean higher = !isDeclared() || declare.version() > this.version;
			return higher ? new DeclaredState(newIndex, declare.version(), declare.document(), this.evacuated) : this;
		}
		DeclarationCommand.Evacuate evacuate = (DeclarationCommand.Evacuate) command;
		SortedSet<DataCentreId> changed = new TreeSet<>(this.evacuated);
		boolean effect = evacuate.evacuated() ? changed.add(evacuate.dataCentre())
				: changed.remove(evacuate.dataCentre());
		return effect ? new DeclaredState(newIndex, this.version, this.document, changed) : this;
	}

}
