package org.vanillatrestle.daemon.internal.pipeline;

import java.util.List;
import java.util.function.BiFunction;

import org.vanillatrestle.Caller;
import org.vanillatrestle.Contract;
import org.vanillatrestle.RegionId;

/**
 * Refuses requests whose contract does not allow processing in this VM's region.
 * <p>
 * Stateless; used on the VM's event loop.
 */
public final class RegionFilter implements Filter {

	private final RegionId region;

	private final BiFunction<Contract, Caller, List<String>> alternativeEntries;

	/**
	 * Creates the filter.
	 * @param region this VM's region
	 * @param alternativeEntries returns the addresses of entry VMs to use instead
	 */
	public RegionFilter(RegionId region, BiFunction<Contract, Caller, List<String>> alternativeEntries) {
		this.region = region;
		this.alternativeEntries = alternativeEntries;
	}

	@Override
	public void apply(Exchange exchange, Continuation next) {
		Contract contract = exchange.contract();
		if (!contract.allows(this.region)) {
			List<String> entries = this.alternativeEntries.apply(contract, exchange.caller());
			exchange.refuse(Refusals.regionNotAllowed(this.region, entries));
			return;
		}
		next.proceed();
	}

}
