package org.vanillatrestle.bench.internal.deployment;

import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.vanillatrestle.bench.internal.http.Responses;

/**
 * One VM of a deployment.
 * <p>
 * Immutable and thread safe.
 *
 * @param vm its id
 * @param region its region
 * @param dataCentre its data centre
 * @param roles its roles
 * @param host its address
 * @param httpPort where it serves callers, targets and operators
 * @param peerPort where it accepts links from other VMs
 */
public record VmPlan(String vm, String region, String dataCentre, List<String> roles, String host, int httpPort,
		int peerPort) {

	private static final List<String> DISK_ROLES = List.of("LEDGER", "CONTROL");

	/**
	 * Copies the roles.
	 */
	public VmPlan {
		roles = List.copyOf(roles);
	}

	/**
	 * Returns where callers, targets and operators connect.
	 * @return {@code host:port}
	 */
	public String http() {
		return this.host + ":" + this.httpPort;
	}

	/**
	 * Returns where other VMs connect.
	 * @return {@code host:port}
	 */
	public String peer() {
		return this.host + ":" + this.peerPort;
	}

	/**
	 * Tells whether a role of this VM keeps state on a disk.
	 * @return whether it needs a data folder
	 */
	public boolean needsDisk() {
		return this.roles.stream().anyMatch(DISK_ROLES::contains);
	}

	ObjectNode toJson(String peer) {
		ObjectNode node = Responses.object()
			.put("vm", this.vm)
			.put("region", this.region)
			.put("dataCentre", this.dataCentre);
		ArrayNode names = node.putArray("roles");
		this.roles.forEach(names::add);
		return node.put("http", http()).put("peer", peer);
	}

}
