package org.vanillatrestle.daemon.internal.gateway;

import java.util.concurrent.TimeUnit;
import java.util.function.ObjLongConsumer;

import io.netty.channel.EventLoop;
import org.apache.commons.rng.UniformRandomProvider;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.daemon.internal.http.BodyMemory;
import org.vanillatrestle.daemon.internal.target.TargetClient;
import org.vanillatrestle.daemon.protocol.GatewayProtocol;
import org.vanillatrestle.internal.gateway.GatewayTargets;
import org.vanillatrestle.internal.gateway.RemoteEntries;
import org.vanillatrestle.internal.gateway.RetryBudget;

/**
 * What every request of an entry VM works with.
 * <p>
 * Used on the VM's event loop.
 *
 * @param loop the VM's event loop
 * @param region this VM's region
 * @param protocol the platform's interfaces
 * @param targets the targets of this region
 * @param remoteEntries the entry VMs of other regions
 * @param client sends requests to targets and other VMs
 * @param retryBudget bounds repeats
 * @param telemetry logs and counts what becomes of requests
 * @param random picks services by weight
 * @param onLargeRequest told when a request that weighs much was sent to a target
 * @param onTargetLeaving told the incarnation of a target whose answer says that it
 * leaves, with the time of its start
 * @param responseMemory counts the memory of answers that are collected whole
 * @param startedNanos when this VM started, by the monotonic clock
 */
record GatewayContext(EventLoop loop, RegionId region, GatewayProtocol protocol, GatewayTargets targets,
		RemoteEntries remoteEntries, TargetClient client, RetryBudget retryBudget, RequestTelemetry telemetry,
		UniformRandomProvider random, Runnable onLargeRequest, ObjLongConsumer<TargetId> onTargetLeaving,
		BodyMemory responseMemory, long startedNanos) {

	long uptimeMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startedNanos);
	}

}
