package org.vanillatrestle.internal.declaration;

import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;

import org.vanillatrestle.DataCentreId;

/**
 * The state declared by operators, as of one index of the replicated log.
 * <p>
 * Immutable and thread safe, provided that callers do not modify the document. States of
 * one log are ordered by index: a state with a higher index never has a lower version.
 *
 * @param index the log index of the last change
 * @param version the version of the declaration in force, 0 before the first declaration
 * @param document the declaration as the operator sent it, empty before the first
 * declaration
 * @param evacuated the evacuated data centres, whose targets receive no requests
 */
public record DeclaredState(long index, long version, byte[] document, SortedSet<DataCentreId> evacuated) {

	/**
	 * The state before the first change.
	 */
	public static final DeclaredState NONE = new DeclaredState(0, 0, new byte[0], new TreeSet<>());

	public DeclaredState {
		evacuated = Collections.unmodifiableSortedSet(new TreeSet<>(evacuated));
	}

	/**
	 * Checks whether a data centre is evacuated as ordered.
	 * @param dataCentre the data centre
	 * @param wanted whether it is to be evacuated
	 * @return whether nothing has to be changed
	 */
	public boolean isEvacuated(DataCentreId dataCentre, boolean wanted) {
		return this.evacuated.contains(dataCentre) == wanted;
	}

	public boolean isDeclared() {
		return this.document.length > 0;
	}

	/**
	 * Returns the state after a command is applied.
	 * @param newIndex the log index of the command
	 * @param command the command
	 * @return the new state, or this state if the command has no effect
	 */
	public DeclaredState after(long newIndex, DeclarationCommand command) {
		if (command instanceof DeclarationCommand.Declare declare) {
			boolean isHigher = !isDeclared() || declare.version() > this.version;
			return isHigher ? new DeclaredState(newIndex, declare.version(), declare.document(), this.evacuated) : this;
		}
		DeclarationCommand.Evacuate evacuate = (DeclarationCommand.Evacuate) command;
		if (!evacuate.appliesTo(this)) {
			return this;
		}
		SortedSet<DataCentreId> newEvacuated = new TreeSet<>(this.evacuated);
		boolean isChanged = evacuate.evacuated() ? newEvacuated.add(evacuate.dataCentre())
				: newEvacuated.remove(evacuate.dataCentre());
		return isChanged ? new DeclaredState(newIndex, this.version, this.document, newEvacuated) : this;
	}

}
