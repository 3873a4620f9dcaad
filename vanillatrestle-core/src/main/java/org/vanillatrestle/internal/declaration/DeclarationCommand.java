package org.vanillatrestle.internal.declaration;

import org.vanillatrestle.DataCentreId;

/**
 * A change of the declared state, as it stands in the replicated log.
 * <p>
 * Immutable and thread safe; byte arrays must not be written to.
 */
public sealed interface DeclarationCommand {

	/**
	 * Puts a declaration in force unless one of the same or a higher version is.
	 *
	 * @param version the version
	 * @param document the declaration as the operator sent it
	 */
	record Declare(long version, byte[] document) implements DeclarationCommand {
	}

	/**
	 * Begins or ends the evacuation of a data centre.
	 *
	 * @param dataCentre the data centre
	 * @param evacuated whether its targets are to get no requests
	 */
	record Evacuate(DataCentreId dataCentre, boolean evacuated) implements DeclarationCommand {
	}

}
