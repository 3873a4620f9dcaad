package org.vanillatrestle.daemon.internal.node;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import org.vanillatrestle.Caller;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.daemon.internal.ledger.OnceClient;
import org.vanillatrestle.daemon.internal.settings.Settings;

/**
 * Caches the prefixes of once keys that the ledgers returned last. Each look-up requests
 * the prefix again, so that the next caller gets the prefix of a new generation.
 * <p>
 * Used on the VM's event loop.
 */
final class OnceKeyPrefixes implements Function<Caller, Optional<String>> {

	private final Settings settings;

	private final OnceClient client;

	private final Map<DataCentreId, String> prefixes = new HashMap<>();

	OnceKeyPrefixes(Settings settings, OnceClient client) {
		this.settings = settings;
		this.client = client;
	}

	@Override
	public Optional<String> apply(Caller caller) {
		List<DataCentreId> homes = this.settings.ledgerDataCentres(caller.homeRegion());
		if (homes.isEmpty()) {
			return Optional.empty();
		}
		DataCentreId home = homes.get(Math.floorMod(caller.name().hashCode(), homes.size()));
		this.client.prefix(home).thenAccept((prefix) -> {
			if (!prefix.isEmpty()) {
				this.prefixes.put(home, prefix);
			}
		});
		return Optional.ofNullable(this.prefixes.get(home));
	}

}
