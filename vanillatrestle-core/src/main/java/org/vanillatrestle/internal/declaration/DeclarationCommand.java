package org.vanillatrestle.internal.declaration;

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
	 * Starts or ends the evacuation of a data centre.
	 *
	 * @param dataCentre the data centre
	 * @param evacuated whether the data centre is evacuated, which means that its targets
	 * receive no requests
	 */
	record Evacuate(DataCentreId dataCentre, boolean evacuated) implements DeclarationCommand {
	}

}
