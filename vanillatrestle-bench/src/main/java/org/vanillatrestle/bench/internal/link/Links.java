package org.vanillatrestle.bench.internal.link;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.vanillatrestle.bench.internal.deployment.DeploymentPlan;
import org.vanillatrestle.bench.internal.deployment.VmPlan;

/**
 * The links between the regions of a deployment. Each VM reaches the VMs of another
 * region through a link of its own region, so that two regions can be cut from each
 * other, both ways or one.
 * <p>
 * Thread safe.
 */
public final class Links implements AutoCloseable {

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.group.next();

	private final DeploymentPlan plan;

	private final Map<String, InetSocketAddress> addresses = new HashMap<>();

	private final Map<RegionPair, List<Link>> links = new HashMap<>();

	private Links(DeploymentPlan plan) {
		this.plan = plan;
	}

	/**
	 * Opens the links of a deployment on free ports.
	 * @param plan the deployment
	 * @param delayMillis the delay of each way between two regions
	 * @return the open links
	 * @throws IOException if a port can't be opened
	 */
	public static Links open(DeploymentPlan plan, long delayMillis) throws IOException {
		Links links = new Links(plan);
		List<String> regions = plan.vms().stream().map(VmPlan::region).distinct().toList();
		try {
			for (String from : regions) {
				for (VmPlan to : plan.vms()) {
					if (!to.region().equals(from)) {
						links.add(from, to, delayMillis);
					}
				}
			}
			return links;
		}
		catch (IOException ex) {
			links.close();
			throw ex;
		}
	}

	private void add(String from, VmPlan to, long delayMillis) throws IOException {
		InetSocketAddress near = new InetSocketAddress(to.host(), 0);
		Link link = Link.open(this.loop, near, new InetSocketAddress(to.host(), to.peerPort()), delayMillis);
		this.addresses.put(from + "/" + to.vm(), link.address());
		this.links.computeIfAbsent(new RegionPair(from, to.region()), (pair) -> new ArrayList<>()).add(link);
	}

	/**
	 * Returns where the VMs of a region reach another VM's peer port.
	 * @param fromRegion the region
	 * @param to the other VM
	 * @return {@code host:port}: the VM's own within a region, else a link
	 */
	public String peerAddress(String fromRegion, VmPlan to) {
		InetSocketAddress address = this.addresses.get(fromRegion + "/" + to.vm());
		if (address == null) {
			return to.host() + ":" + to.peerPort();
		}
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

	/**
	 * Cuts or restores the links from one region to another. As a connection carries
	 * bytes both ways, a cut also silences answers on connections that the first region
	 * opened.
	 * @param from the region that opens the connections
	 * @param to the region they lead to
	 * @param silent whether no byte may pass from now on
	 */
	public void cut(String from, String to, boolean silent) {
		this.links.getOrDefault(new RegionPair(from, to), List.of()).forEach((link) -> link.cut(silent));
	}

	/**
	 * Cuts or restores every link to and from a region.
	 * @param region the region
	 * @param silent whether no byte may pass from now on
	 */
	public void isolate(String region, boolean silent) {
		this.plan.vms().stream().map(VmPlan::region).distinct().forEach((other) -> {
			cut(region, other, silent);
			cut(other, region, silent);
		});
	}

	@Override
	public void close() {
		this.links.values().forEach((list) -> list.forEach(Link::close));
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
	}

	/**
	 * Two regions in the direction of connections. Immutable and thread safe.
	 *
	 * @param from the region that opens connections
	 * @param to the region they lead to
	 */
	private record RegionPair(String from, String to) {

	}

}
