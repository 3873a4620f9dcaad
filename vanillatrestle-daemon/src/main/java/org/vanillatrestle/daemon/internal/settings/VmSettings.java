package org.vanillatrestle.daemon.internal.settings;

import java.util.Set;

import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.VmId;

/**
 * The settings of one VM of the deployment.
 * <p>
 * Immutable and thread safe.
 *
 * @param id the id of the VM
 * @param region its region
 * @param dataCentre its data centre
 * @param roles its roles, at least one
 * @param httpAddress the address at which it serves callers, targets and operators
 * @param peerAddress the address at which it accepts links from other VMs
 */
public record VmSettings(VmId id, RegionId region, DataCentreId dataCentre, Set<Role> roles, HostAndPort httpAddress,
		HostAndPort peerAddress) {

	public VmSettings {
		roles = Set.copyOf(roles);
	}

	/**
	 * Returns whether the VM has a role.
	 * @param role the role
	 * @return whether the VM has the role
	 */
	public boolean hasRole(Role role) {
		return this.roles.contains(role);
	}

}
