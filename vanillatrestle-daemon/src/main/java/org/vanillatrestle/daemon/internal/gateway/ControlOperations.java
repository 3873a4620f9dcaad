package org.vanillatrestle.daemon.internal.gateway;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.vanillatrestle.TargetId;
import org.vanillatrestle.daemon.protocol.ControlCall;
import org.vanillatrestle.internal.declaration.DeclarationCommand;
import org.vanillatrestle.internal.declaration.DeclaredState;
import org.vanillatrestle.internal.fleet.TargetReport;

/**
 * What carries out the calls to a control VM. Used on the VM's event loop.
 */
public interface ControlOperations {

	/**
	 * Answers a directory look-up.
	 * @param call the look-up
	 * @return the answer's body, empty if no entry VM is known
	 */
	Optional<byte[]> resolve(ControlCall.Resolve call);

	/**
	 * Takes a target's report.
	 * @param report the report
	 */
	void report(TargetReport report);

	/**
	 * Takes a target's leave.
	 * @param target the target
	 */
	void leave(TargetId target);

	/**
	 * Tells whether this VM is in touch with most control VMs, so that what it
	 * acknowledges reaches the others.
	 * @return whether it is
	 */
	boolean isConnectedToMajority();

	/**
	 * Proposes a change of the declared state.
	 * @param command the change
	 * @return the state after it, empty if it was not taken or its outcome is not known
	 */
	CompletableFuture<Optional<DeclaredState>> propose(DeclarationCommand command);

	/**
	 * Reads the declared state.
	 * @return the latest state acknowledged, empty if this VM can't be sure of it
	 */
	CompletableFuture<Optional<DeclaredState>> read();

	/**
	 * Counts what is answered.
	 * @return the metrics
	 */
	ControlMetrics metrics();

}
