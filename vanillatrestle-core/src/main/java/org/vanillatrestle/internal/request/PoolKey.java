package org.vanillatrestle.internal.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.vanillatrestle.CustomerId;
import org.vanillatrestle.ModelName;
import org.vanillatrestle.ServiceKind;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.internal.target.Announcement;

/**
 * Identifies a pool of interchangeable targets: those of one model, or those of one
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
	 * @param model the requested model, empty for a plain service
	 * @return the pool
	 */
	public static PoolKey of(CustomerId customer, ServiceName service, Optional<ModelName> model) {
		if (model.isPresent()) {
			return new PoolKey(model.get(), null, null);
		}
		return new PoolKey(null, customer, service);
	}

	/**
	 * Returns the pools that a target belongs to.
	 * @param announcement the target's announcement
	 * @return the pools, empty for a plain service without a customer
	 */
	public static List<PoolKey> of(Announcement announcement) {
		List<PoolKey> result = new ArrayList<>();
		announcement.models().forEach((model) -> result.add(new PoolKey(model, null, null)));
		if (announcement.kind() == ServiceKind.PLAIN && announcement.customer() != null) {
			result.add(new PoolKey(null, announcement.customer(), announcement.service()));
		}
		return result;
	}

	/**
	 * Tells whether a target belongs to the pool. An engine that serves only one customer
	 * also belongs to the pools of its models.
	 * @param announcement the target's announcement
	 * @return whether the target belongs to the pool
	 */
	public boolean contains(Announcement announcement) {
		if (this.model != null) {
			return announcement.models().contains(this.model);
		}
		return announcement.serves(this.customer, this.service, Optional.empty());
	}

}
