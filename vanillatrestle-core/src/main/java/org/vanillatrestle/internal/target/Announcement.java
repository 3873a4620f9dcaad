package org.vanillatrestle.internal.target;

import java.util.Optional;
import java.util.Set;

import org.vanillatrestle.CustomerId;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.ModelName;
import org.vanillatrestle.ServiceKind;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.TargetId;

/**
 * The announcement that a target sends about itself roughly once per second.
 * <p>
 * Immutable and thread safe. A plain service belongs to one customer; a model engine
 * without a customer serves every customer whose contract names one of its models.
 *
 * @param target the target
 * @param dataCentre the data centre in which it runs
 * @param incarnation a number that increases each time the target starts
 * @param sequence a number that increases with each announcement of an incarnation
 * @param kind the kind of service
 * @param customer the only customer it serves, or {@code null} if it serves any customer
 * @param service the service it offers
 * @param models the loaded models, empty for a plain service
 * @param address the address at which it accepts requests
 * @param capacity its capacity and prices
 * @param load its current load
 * @param leaving whether it is shutting down and accepts no new requests
 * @param canResumeStreams whether it can resume a stream at an offset
 */
public record Announcement(TargetId target, DataCentreId dataCentre, long incarnation, long sequence, ServiceKind kind,
		CustomerId customer, ServiceName service, Set<ModelName> models, TargetAddress address, TargetCapacity capacity,
		TargetLoad load, boolean leaving, boolean canResumeStreams) {

	public Announcement {
		models = Set.copyOf(models);
	}

	/**
	 * Tells whether the target may serve a request.
	 * @param requestCustomer the request's customer
	 * @param requestService the request's service
	 * @param model the requested model, empty for a plain service
	 * @return whether customer and model, or customer and service, match
	 */
	public boolean serves(CustomerId requestCustomer, ServiceName requestService, Optional<ModelName> model) {
		boolean customerMatches = this.customer == null || this.customer.equals(requestCustomer);
		if (model.isPresent()) {
			return customerMatches && this.models.contains(model.get());
		}
		return this.kind == ServiceKind.PLAIN && customerMatches && this.service.equals(requestService);
	}

	/**
	 * Tells whether this announcement is newer than another of the same target.
	 * @param other the other announcement
	 * @return whether this one replaces the other
	 */
	public boolean supersedes(Announcement other) {
		if (this.incarnation != other.incarnation) {
			return this.incarnation > other.incarnation;
		}
		return this.sequence > other.sequence;
	}

}
