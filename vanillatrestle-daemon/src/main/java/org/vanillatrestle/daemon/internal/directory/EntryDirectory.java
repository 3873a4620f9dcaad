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
 * Lists the entry VMs that a caller or a target can use; for a caller in order of
 * preference.
 * <p>
 * Never lists a VM that is known to be shutting down or unavailable, nor, for a caller, a
 * VM in a region that the contract doesn't allow. Used on the VM's event loop.
 */
public final class EntryDirectory {

	private final Settings settings;

	private final Predicate<VmSettings> available;

	private int rotation;

	/**
	 * Creates the directory.
	 * @param settings the settings that name the VMs
	 * @param available tests whether a VM accepts requests, as far as known
	 */
	public EntryDirectory(Settings settings, Predicate<VmSettings> available) {
		this.settings = settings;
		this.available = available;
	}

	/**
	 * Lists the entry VMs for a caller, those of its home region first. Each call rotates
	 * the lists by one, which spreads the callers over the VMs.
	 * @param contract the contract that limits the regions
	 * @param caller the caller
	 * @return the HTTP addresses, as {@code host:port}
	 */
	public List<String> entriesFor(Contract contract, Caller caller) {
		List<VmSettings> home = availableIn(Set.of(caller.homeRegion()), contract);
		List<VmSettings> others = new ArrayList<>(availableIn(contract.allowedRegions(), contract));
		others.removeAll(home);
		this.rotation++;
		Collections.rotate(home, this.rotation);
		Collections.rotate(others, this.rotation);
		List<VmSettings> all = new ArrayList<>(home);
		all.addAll(others);
		return all.stream().map((vm) -> vm.httpAddress().toString()).toList();
	}

	private List<VmSettings> availableIn(Set<RegionId> regions, Contract contract) {
		List<VmSettings> result = new ArrayList<>();
		for (VmSettings vm : this.settings.vmsWithRole(Role.ENTRY)) {
			if (regions.contains(vm.region()) && contract.allows(vm.region()) && this.available.test(vm)) {
				result.add(vm);
			}
		}
		return result;
	}

	/**
	 * Lists the available entry VMs of this data centre, for its targets.
	 * @return the HTTP addresses, as {@code host:port}
	 */
	public List<String> localEntries() {
		return this.settings.vmsWithRole(Role.ENTRY)
			.stream()
			.filter((vm) -> vm.dataCentre().equals(this.settings.self().dataCentre()))
			.filter(this.available)
			.map((vm) -> vm.httpAddress().toString())
			.toList();
	}

}
