package org.vanillatrestle.daemon.internal.pipeline;

import java.util.List;
import java.util.function.BiFunction;

import org.vanillatrestle.Caller;
import org.vanillatrestle.Contract;
import org.vanillatrestle.RegionId;

/**
 * Refuses requests whose contract does not allow this VM's region.
 * <p>
 * Stateless; used on the VM's event loop.
 */
public final class RegionFilter implements Filter {

	private final RegionId region;

	private final BiFunction<Contract, Caller, List<String>> directory;

	/**
	 * Creates the filter.
	 * @param region this VM's region
	 * @param directory gives the entry VMs to use instead
	 */
	public RegionFilter(RegionId region, BiFunction<Contract, Caller, List<String>> directory) {
		this.region = region;
		this.directory = directory;
	}

	@Override
	public void apply(Exchange exchange, Continuation next) {
		Contract contract = exchange.contract();
		if (!contract.allows(this.region)) {
			List<String> entries = this.directory.apply(contract, exchange.caller());
			exchange.refuse(Refusals.regionNotAllowed(this.region, entries));
			return;
		}
		next.proceed();
	}

}
