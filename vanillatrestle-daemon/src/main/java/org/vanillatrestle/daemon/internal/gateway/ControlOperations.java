package org.vanillatrestle.daemon.internal.gateway;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.vanillatrestle.TargetId;
import org.vanillatrestle.daemon.protocol.ControlCall;
import org.vanillatrestle.internal.declaration.DeclarationCommand;
import org.vanillatrestle.internal.declaration.DeclaredState;
import org.vanillatrestle.internal.fleet.TargetReport;

/**
 * The operations that a control VM carries out for its callers. Used only on the VM's
 * event loop.
 */
public interface ControlOperations {

	/**
	 * Looks up the entry VMs that a caller may use.
	 * @param lookup the look-up
	 * @return the body of the response, empty if no entry VM is known that may be used
	 */
	Optional<byte[]> resolve(ControlCall.Resolve lookup);

	/**
	 * Processes a target's report of its state.
	 * @param report the report
	 */
	void report(TargetReport report);

	/**
	 * Processes a target's notice that it is leaving.
	 * @param target the target
	 */
	void leave(TargetId target);

	/**
	 * Checks whether this VM is connected to a majority of the control VMs, so that the
	 * information it acknowledges reaches the others.
	 * @return whether it is connected to a majority
	 */
	boolean isConnectedToMajority();

	/**
	 * Proposes a change of the declared state.
	 * @param command the change
	 * @return the state after the change, empty if the change was not accepted or its
	 * outcome is unknown
	 */
	CompletableFuture<Optional<DeclaredState>> propose(DeclarationCommand command);

	/**
	 * Returns the index of the latest declared state that this VM knows.
	 * @return the index in the replicated log, 0 if it knows none
	 */
	long knownIndex();

	/**
	 * Reads the declared state.
	 * @return the latest acknowledged state, empty if this VM can't determine it
	 */
	CompletableFuture<Optional<DeclaredState>> read();

	/**
	 * Returns the metrics that count the answered calls.
	 * @return the metrics
	 */
	ControlMetrics metrics();

}
