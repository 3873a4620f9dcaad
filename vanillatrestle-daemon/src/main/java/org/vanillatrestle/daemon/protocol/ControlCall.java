package org.vanillatrestle.daemon.protocol;

import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.internal.declaration.Declaration;
import org.vanillatrestle.internal.fleet.TargetReport;

/**
 * A call from an operator, a target or the platform, or a directory look-up by a caller.
 * <p>
 * Immutable and thread safe.
 */
public sealed interface ControlCall {

	/**
	 * Brings a declaration into force.
	 *
	 * @param declaration the declaration
	 * @param document the bytes of the declaration as sent
	 */
	record Declare(Declaration declaration, byte[] document) implements ControlCall {
	}

	/**
	 * Reads the declaration in force.
	 */
	record ReadDeclaration() implements ControlCall {
	}

	/**
	 * Starts or ends the evacuation of a data centre.
	 *
	 * @param dataCentre the data centre
	 * @param evacuated whether requests are kept away from its targets
	 */
	record Evacuate(DataCentreId dataCentre, boolean evacuated) implements ControlCall {
	}

	/**
	 * A target reports its own state.
	 *
	 * @param report the report
	 */
	record Report(TargetReport report) implements ControlCall {
	}

	/**
	 * A target deregisters.
	 *
	 * @param target the target
	 */
	record Leave(TargetId target) implements ControlCall {
	}

	/**
	 * A caller looks up the addresses to connect to.
	 *
	 * @param host the host that the caller asks for, empty if not stated
	 * @param region the caller's region, {@code null} if not stated
	 * @param dataCentre the caller's data centre, {@code null} if not stated
	 */
	record Resolve(String host, RegionId region, DataCentreId dataCentre) implements ControlCall {
	}

	/**
	 * The platform checks whether the VM accepts requests.
	 */
	record Readiness() implements ControlCall {
	}

	/**
	 * A call that violates a rule of the protocol.
	 *
	 * @param reason the rule that is violated
	 */
	record Malformed(String reason) implements ControlCall {
	}

	/**
	 * A call that the platform's interface doesn't define.
	 */
	record Unknown() implements ControlCall {
	}

}
