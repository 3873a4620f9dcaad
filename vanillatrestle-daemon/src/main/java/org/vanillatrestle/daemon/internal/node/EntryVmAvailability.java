package org.vanillatrestle.daemon.internal.node;

import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.vanillatrestle.daemon.internal.peer.PeerService;
import org.vanillatrestle.daemon.internal.settings.Settings;
import org.vanillatrestle.daemon.internal.settings.VmSettings;
import org.vanillatrestle.internal.membership.MemberRecord;
import org.vanillatrestle.internal.membership.MemberStatus;
import org.vanillatrestle.internal.membership.RegionReachability;

/**
 * Tells whether an entry VM of the settings is available, as far as this VM knows. A VM
 * in a region without reachability information counts as available.
 * <p>
 * Used on the VM's event loop.
 */
final class EntryVmAvailability implements Predicate<VmSettings> {

	private final Settings settings;

	private final Supplier<PeerService> peers;

	private final BooleanSupplier shuttingDown;

	EntryVmAvailability(Settings settings, Supplier<PeerService> peers, BooleanSupplier shuttingDown) {
		this.settings = settings;
		this.peers = peers;
		this.shuttingDown = shuttingDown;
	}

	@Override
	public boolean test(VmSettings vm) {
		if (vm.id().equals(this.settings.self().id())) {
			return !this.shuttingDown.getAsBoolean();
		}
		if (vm.dataCentre().equals(this.settings.self().dataCentre())) {
			MemberRecord member = this.peers.get().membership().member(vm.id());
			return member != null && member.status() == MemberStatus.ALIVE;
		}
		for (RegionReachability reach : this.peers.get().summaries().regions()) {
			if (reach.region().equals(vm.region())) {
				return reach.reachable();
			}
		}
		return true;
	}

}
