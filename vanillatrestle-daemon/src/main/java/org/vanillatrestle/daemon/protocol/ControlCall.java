package org.vanillatrestle.daemon.protocol;

import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.internal.declaration.Declaration;
import org.vanillatrestle.internal.fleet.TargetReport;

/**
 * A call of an operator, a target, a caller's directory look-up or the platform.
 * <p>
 * Immutable and thread safe.
 */
public sealed interface ControlCall {

	/**
	 * Puts a declaration in force.
	 *
	 * @param declaration the declaration
	 * @param document the bytes as sent
	 */
	record Declare(Declaration declaration, byte[] document) implements ControlCall {
	}

	/**
	 * Reads the declaration in force.
	 */
	record ReadDeclaration() implements ControlCall {
	}

	/**
	 * Begins or ends the evacuation of a data centre.
	 *
	 * @param dataCentre the data centre
	 * @param evacuated whether its targets are to get no requests
	 */
	record Evacuate(DataCentreId dataCentre, boolean evacuated) implements ControlCall {
	}

	/**
	 * A target's report of itself.
	 *
	 * @param report the report
	 */
	record Report(TargetReport report) implements ControlCall {
	}

	/**
	 * A target leaves.
	 *
	 * @param target the target
	 */
	record Leave(TargetId target) implements ControlCall {
	}

	/**
	 * A caller asks where to connect.
	 *
	 * @param host the host that the caller wants, empty if not told
	 * @param region the caller's region, {@code null} if not told
	 * @param dataCentre the caller's data centre, {@code null} if not told
	 */
	record Resolve(String host, RegionId region, DataCentreId dataCentre) implements ControlCall {
	}

	/**
	 * The platform asks whether the VM takes requests.
	 */
	record Readiness() implements ControlCall {
	}

	/**
	 * A call that breaks a rule.
	 *
	 * @param reason the rule
	 */
	record Unreadable(String reason) implements ControlCall {
	}

	/**
	 * A call that the platform doesn't know.
	 */
	record Unknown() implements ControlCall {
	}

}
