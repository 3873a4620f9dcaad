package org.vanillatrestle.daemon.internal.gateway;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.apache.commons.rng.UniformRandomProvider;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.daemon.internal.fleet.TargetStatementListener;
import org.vanillatrestle.daemon.internal.http.BodyMemory;
import org.vanillatrestle.daemon.internal.target.TargetClient;
import org.vanillatrestle.daemon.protocol.GatewayProtocol;
import org.vanillatrestle.internal.gateway.GatewayTargets;
import org.vanillatrestle.internal.gateway.RemoteEntries;
import org.vanillatrestle.internal.gateway.RetryBudget;
import org.vanillatrestle.internal.quarantine.PartQuarantine;

/**
 * The dependencies shared by all requests of an entry VM.
 * <p>
 * Used only on the VM's event loop.
 *
 * @param loop the VM's event loop
 * @param region this VM's region
 * @param protocol reads and writes the platform's message formats
 * @param targets the targets of this region
 * @param remoteVms the entry VMs of other regions
 * @param client sends requests to targets and other VMs
 * @param retryBudget limits how often requests are retried
 * @param telemetry logs the events of requests and counts their outcomes
 * @param random source of randomness for choosing services by weight
 * @param onLargeRequest called when a request with many unread prompt tokens was sent to
 * a target
 * @param targetStatements receives what targets' responses state and other VMs have to
 * know
 * @param responseMemory limits the memory used by buffered responses
 * @param quarantine keeps prompt parts that crash engines away from them
 * @param crashMonitor finds out whether a target's process has ended
 * @param startedNanos the time at which this VM started, on the monotonic clock
 */
record GatewayContext(EventLoop loop, RegionId region, GatewayProtocol protocol, GatewayTargets targets,
		RemoteEntries remoteVms, TargetClient client, RetryBudget retryBudget, RequestTelemetry telemetry,
		UniformRandomProvider random, Runnable onLargeRequest, TargetStatementListener targetStatements,
		BodyMemory responseMemory, PartQuarantine quarantine, TargetCrashMonitor crashMonitor, long startedNanos) {

	long uptimeMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startedNanos);
	}

}
