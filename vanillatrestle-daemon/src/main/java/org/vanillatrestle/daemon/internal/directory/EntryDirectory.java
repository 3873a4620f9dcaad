package org.vanillatrestle.daemon.internal.directory;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

import org.vanillatrestle.Caller;
import org.vanillatrestle.Contract;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.daemon.internal.settings.Role;
import org.vanillatrestle.daemon.internal.settings.Settings;
import org.vanillatrestle.daemon.internal.settings.VmSettings;

/**
 * Tells callers which entry VMs to use, best first.
 * <p>
 * Never lists a VM in a region that the contract forbids, nor one that is known to be
 * leaving or gone. Used on the VM's event loop.
 */
public final class EntryDirectory {

	private final Settings settings;

	private final Predicate<VmSettings> usable;

	private int turn;

	/**
	 * Creates the directory.
	 * @param settings names the VMs
	 * @param usable tells whether a VM takes requests, as far as known
	 */
	public EntryDirectory(Settings settings, Predicate<VmSettings> usable) {
		this.settings = settings;
		this.usable = usable;
	}

	/**
	 * Lists the entry VMs for a caller: those of its home region first, in turns so that
	 * callers spread over them.
	 * @param contract the contract
	 * @param caller the caller
	 * @return the HTTP addresses, as {@code host:port}
	 */
	public List<String> entriesFor(Contract contract, Caller caller) {
		List<VmSettings> home = usableIn(Set.of(caller.homeRegion()), contract);
		List<VmSettings> others = new ArrayList<>(usableIn(contract.allowedRegions(), contract));
		others.removeAll(home);
		this.turn++;
		Collections.rotate(home, this.turn);
		Collections.rotate(others, this.turn);
		List<VmSettings> all = new ArrayList<>(home);
		all.addAll(others);
		return all.stream().map((vm) -> vm.http().toString()).toList();
	}

	private List<VmSettings> usableIn(Set<RegionId> regions, Contract contract) {
		List<VmSettings> result = new ArrayList<>();
		for (VmSettings vm : this.settings.withRole(Role.ENTRY)) {
			if (regions.contains(vm.region()) && contract.allows(vm.region()) && this.usable.test(vm)) {
				result.add(vm);
			}
		}
		return result;
	}

	/**
	 * Lists the entry VMs of this data centre, for targets.
	 * @return the HTTP addresses, as {@code host:port}
	 */
	public List<String> localEntries() {
		return this.settings.withRole(Role.ENTRY)
			.stream()
			.filter((vm) -> vm.dataCentre().equals(this.settings.self().dataCentre()))
			.filter(this.usable)
			.map((vm) -> vm.http().toString())
			.toList();
	}

}
