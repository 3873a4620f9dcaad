package org.vanillatrestle.internal.membership;

import java.util.List;
import java.util.Optional;

import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.ModelName;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.ServiceName;

/**
 * The summary that a data centre sends to the others.
 * <p>
 * Immutable and thread safe.
 *
 * @param dataCentre the data centre
 * @param region its region
 * @param appliedIndex the applied index of the contract book on the VM that created the
 * summary
 * @param contacts addresses of some of its VMs, as {@code host:port}
 * @param rows its capacity per service and model
 */
public record DataCentreSummary(DataCentreId dataCentre, RegionId region, long appliedIndex, List<String> contacts,
		List<CapacityRow> rows) {

	public DataCentreSummary {
		contacts = List.copyOf(contacts);
		rows = List.copyOf(rows);
	}

	/**
	 * Finds the capacity for a service and model.
	 * @param service the service
	 * @param model the model, {@code null} for a plain service
	 * @return the row, if the data centre serves it
	 */
	public Optional<CapacityRow> row(ServiceName service, ModelName model) {
		int key = CapacityRow.key(service, model);
		return this.rows.stream().filter((row) -> row.key() == key).findFirst();
	}

}
