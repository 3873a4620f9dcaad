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
 * What a target says of itself, about once a second.
 * <p>
 * Immutable and thread safe. A plain service belongs to one customer; a model engine
 * without a customer serves every customer whose contract names one of its models.
 *
 * @param target the target
 * @param dataCentre the data centre it stands in
 * @param incarnation a number that grows each time the target starts
 * @param sequence a number that grows with each announcement of one incarnation
 * @param kind the kind of service
 * @param customer the customer it serves alone, or {@code null} for any
 * @param service the service it offers
 * @param models the models it has loaded, empty for a plain service
 * @param address where it accepts requests
 * @param capacity what it can do
 * @param load its load
 * @param leaving whether it wants no new work
 * @param resumes whether it can resume a stream at an offset
 */
public record Announcement(TargetId target, DataCentreId dataCentre, long incarnation, long sequence, ServiceKind kind,
		CustomerId customer, ServiceName service, Set<ModelName> models, TargetAddress address, TargetCapacity capacity,
		TargetLoad load, boolean leaving, boolean resumes) {

	public Announcement {
		models = Set.copyOf(models);
	}

	/**
	 * Tells whether the target may serve a request.
	 * @param requestCustomer the request's customer
	 * @param requestService the request's service
	 * @param model the model asked for, empty for a plain service
	 * @return whether customer and model, or customer and service, fit
	 */
	public boolean serves(CustomerId requestCustomer, ServiceName requestService, Optional<ModelName> model) {
		boolean customerFits = this.customer == null || this.customer.equals(requestCustomer);
		if (model.isPresent()) {
			return customerFits && this.models.contains(model.get());
		}
		return this.kind == ServiceKind.PLAIN && customerFits && this.service.equals(requestService);
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
