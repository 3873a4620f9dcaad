package org.vanillatrestle;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * The agreement between a customer and the operators. It specifies in which regions the
 * customer's data may be processed, how much capacity the customer may use, and which
 * calls must never be repeated.
 * <p>
 * Immutable and thread safe. {@link Contracts#parse(String)} reads contracts from JSON
 * and also checks that names are unique and that the home region of each caller is
 * allowed.
 */
public final class Contract {

	private final CustomerId customer;

	private final long revision;

	private final Objective objective;

	private final Set<RegionId> allowedRegions;

	private final List<Caller> callers;

	private final List<ContractService> services;

	private Contract(Builder builder) {
		this.customer = builder.customer;
		this.revision = builder.revision;
		this.objective = builder.objective;
		this.allowedRegions = Set.copyOf(builder.allowedRegions);
		this.callers = List.copyOf(builder.callers);
		this.services = List.copyOf(builder.services);
	}

	/**
	 * Creates a builder for a contract.
	 * @param customer the customer
	 * @param revision the revision, at least 1
	 * @return the builder
	 */
	public static Builder builder(CustomerId customer, long revision) {
		return new Builder(customer, revision);
	}

	public CustomerId customer() {
		return this.customer;
	}

	/**
	 * Returns the revision of this contract. Each accepted change increases it by one.
	 * @return the revision, at least 1
	 */
	public long revision() {
		return this.revision;
	}

	public Objective objective() {
		return this.objective;
	}

	/**
	 * Returns the regions in which the customer's data may be processed.
	 * @return the regions, at least one
	 */
	public Set<RegionId> allowedRegions() {
		return this.allowedRegions;
	}

	public List<Caller> callers() {
		return this.callers;
	}

	public List<ContractService> services() {
		return this.services;
	}

	/**
	 * Returns whether the customer's data may be processed in a region.
	 * @param region the region
	 * @return whether the region is allowed
	 */
	public boolean allows(RegionId region) {
		return this.allowedRegions.contains(region);
	}

	/**
	 * Finds a caller by name.
	 * @param name the name of the caller
	 * @return the caller, or empty if the contract has no caller of that name
	 */
	public Optional<Caller> caller(CallerName name) {
		return this.callers.stream().filter((caller) -> caller.name().equals(name)).findFirst();
	}

	/**
	 * Finds a service by name.
	 * @param name the name of the service
	 * @return the service, or empty if the contract has no service of that name
	 */
	public Optional<ContractService> service(ServiceName name) {
		return this.services.stream().filter((service) -> service.name().equals(name)).findFirst();
	}

	/**
	 * Finds the model service that provides a model.
	 * @param model the model
	 * @return the service, or empty if none provides the model
	 */
	public Optional<ContractService> serviceFor(ModelName model) {
		return this.services.stream().filter((service) -> service.models().contains(model)).findFirst();
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof Contract that && this.customer.equals(that.customer) && this.revision == that.revision
				&& this.objective == that.objective && this.allowedRegions.equals(that.allowedRegions)
				&& this.callers.equals(that.callers) && this.services.equals(that.services);
	}

	@Override
	public int hashCode() {
		return Objects.hash(this.customer, this.revision);
	}

	@Override
	public String toString() {
		return this.customer + " revision " + this.revision;
	}

	/**
	 * Builds a contract. Not thread safe.
	 */
	public static final class Builder {

		private final CustomerId customer;

		private final long revision;

		private Objective objective = Objective.TAIL_LATENCY;

		private Set<RegionId> allowedRegions = Set.of();

		private List<Caller> callers = List.of();

		private List<ContractService> services = List.of();

		private Builder(CustomerId customer, long revision) {
			this.customer = customer;
			this.revision = revision;
		}

		public Builder objective(Objective objective) {
			this.objective = objective;
			return this;
		}

		public Builder allowedRegions(Set<RegionId> allowedRegions) {
			this.allowedRegions = allowedRegions;
			return this;
		}

		public Builder callers(List<Caller> callers) {
			this.callers = callers;
			return this;
		}

		public Builder services(List<ContractService> services) {
			this.services = services;
			return this;
		}

		public Contract build() {
			return new Contract(this);
		}

	}

}
