package org.vanillatrestle.internal.request;

import java.util.Optional;

import org.vanillatrestle.CustomerId;
import org.vanillatrestle.ModelName;
import org.vanillatrestle.ServiceName;

/**
 * Names the targets that can stand in for each other: those of one model, or those of one
 * customer's plain service.
 * <p>
 * Immutable and thread safe.
 *
 * @param model the model, or {@code null} for a plain service
 * @param customer the customer, or {@code null} for a model
 * @param service the plain service, or {@code null} for a model
 */
public record PoolKey(ModelName model, CustomerId customer, ServiceName service) {

	/**
	 * Returns the pool of a request.
	 * @param customer the customer
	 * @param service the service
	 * @param model the model asked for, empty for a plain service
	 * @return the pool
	 */
	public static PoolKey of(CustomerId customer, ServiceName service, Optional<ModelName> model) {
		if (model.isPresent()) {
			return new PoolKey(model.get(), null, null);
		}
		return new PoolKey(null, customer, service);
	}

}
