package org.vanillatrestle.daemon.internal.settings;

import java.util.Set;

import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.VmId;

/**
 * What settings say of one VM of the deployment.
 * <p>
 * Immutable and thread safe.
 *
 * @param vm the VM
 * @param region its region
 * @param dataCentre its data centre
 * @param roles what it does, at least one role
 * @param http where it serves callers, targets and operators
 * @param peer where it accepts links from other VMs
 */
public record VmSettings(VmId vm, RegionId region, DataCentreId dataCentre, Set<Role> roles, HostAndPort http,
		HostAndPort peer) {

	public VmSettings {
		roles = Set.copyOf(roles);
	}

	/**
	 * Tells whether the VM has a role.
	 * @param role the role
	 * @return whether it has it
	 */
	public boolean has(Role role) {
		return this.roles.contains(role);
	}

}
