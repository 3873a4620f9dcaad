package org.vanillatrestle;

import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * A service of a contract with its limits.
 * <p>
 * Immutable and thread safe. Limits are global: they apply to all regions and VMs
 * together.
 *
 * <pre>
 * ContractService sheets = ContractService.builder(new ServiceName("sheets"), ServiceKind.MODEL)
 *     .models(Set.of(new ModelName("sheet-1")))
 *     .maxRequestsPerSecond(40)
 *     .build();
 * </pre>
 */
public final class ContractService {

	/**
	 * The highest priority; 0 is the lowest.
	 */
	public static final int MAX_PRIORITY = 9;

	private final ServiceName name;

	private final ServiceKind kind;

	private final Set<ModelName> models;

	private final int priority;

	private final long maxRequestsPerSecond;

	private final long maxTokensPerSecond;

	private final int maxInFlight;

	private final long deadlineMillis;

	private final int maxSentAwayPercent;

	private final List<CallRule> calls;

	private ContractService(Builder builder) {
		this.name = builder.name;
		this.kind = builder.kind;
		this.models = Set.copyOf(builder.models);
		this.priority = builder.priority;
		this.maxRequestsPerSecond = builder.maxRequestsPerSecond;
		this.maxTokensPerSecond = builder.maxTokensPerSecond;
		this.maxInFlight = builder.maxInFlight;
		this.deadlineMillis = builder.deadlineMillis;
		this.maxSentAwayPercent = builder.maxSentAwayPercent;
		this.calls = List.copyOf(builder.calls);
	}

	/**
	 * Creates a builder for a service with the default limits.
	 * @param name the name of the service, unique within its contract
	 * @param kind the kind of the service
	 * @return the builder
	 */
	public static Builder builder(ServiceName name, ServiceKind kind) {
		return new Builder(name, kind);
	}

	public ServiceName name() {
		return this.name;
	}

	public ServiceKind kind() {
		return this.kind;
	}

	/**
	 * Returns the models that callers may request.
	 * @return the models, empty for a plain service
	 */
	public Set<ModelName> models() {
		return this.models;
	}

	/**
	 * Returns the priority relative to the services of all customers.
	 * @return the priority, from 0 (lowest) to {@link #MAX_PRIORITY}
	 */
	public int priority() {
		return this.priority;
	}

	public long maxRequestsPerSecond() {
		return this.maxRequestsPerSecond;
	}

	/**
	 * Returns the limit on the sum of prompt and completion tokens.
	 * @return the limit, in tokens per second
	 */
	public long maxTokensPerSecond() {
		return this.maxTokensPerSecond;
	}

	public int maxInFlight() {
		return this.maxInFlight;
	}

	/**
	 * Returns the maximum duration of a request, from its arrival to the last byte of the
	 * response.
	 * @return the duration, in milliseconds
	 */
	public long deadlineMillis() {
		return this.deadlineMillis;
	}

	/**
	 * Returns the maximum share of requests that may be sent to another region while the
	 * home region has capacity.
	 * @return the share in percent, 0 to 100
	 */
	public int maxSentAwayPercent() {
		return this.maxSentAwayPercent;
	}

	/**
	 * Returns the call rules. The first rule that matches a call applies.
	 * @return the rules, empty for a model service
	 */
	public List<CallRule> calls() {
		return this.calls;
	}

	/**
	 * Returns the rule that applies to a call, or the default rule if none matches.
	 * @param method the HTTP method in upper case
	 * @param path the path relative to the service, without the query
	 * @return the rule
	 */
	public CallRule ruleFor(String method, String path) {
		for (CallRule rule : this.calls) {
			if (rule.matches(method, path)) {
				return rule;
			}
		}
		return new CallRule(method, path, Repeat.defaultFor(method), true);
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof ContractService that && this.name.equals(that.name) && this.kind == that.kind
				&& this.models.equals(that.models) && this.priority == that.priority
				&& this.maxRequestsPerSecond == that.maxRequestsPerSecond
				&& this.maxTokensPerSecond == that.maxTokensPerSecond && this.maxInFlight == that.maxInFlight
				&& this.deadlineMillis == that.deadlineMillis && this.maxSentAwayPercent == that.maxSentAwayPercent
				&& this.calls.equals(that.calls);
	}

	@Override
	public int hashCode() {
		return Objects.hash(this.name, this.kind, this.models, this.calls);
	}

	@Override
	public String toString() {
		return this.name + " (" + this.kind + ")";
	}

	/**
	 * Builds a service. Not thread safe.
	 */
	public static final class Builder {

		private final ServiceName name;

		private final ServiceKind kind;

		private Set<ModelName> models = Set.of();

		private int priority = 5;

		private long maxRequestsPerSecond = 100;

		private long maxTokensPerSecond = 100_000;

		private int maxInFlight = 200;

		private long deadlineMillis = 60_000;

		private int maxSentAwayPercent = 100;

		private List<CallRule> calls = List.of();

		private Builder(ServiceName name, ServiceKind kind) {
			this.name = name;
			this.kind = kind;
		}

		public Builder models(Set<ModelName> models) {
			this.models = models;
			return this;
		}

		public Builder priority(int priority) {
			this.priority = priority;
			return this;
		}

		public Builder maxRequestsPerSecond(long maxRequestsPerSecond) {
			this.maxRequestsPerSecond = maxRequestsPerSecond;
			return this;
		}

		public Builder maxTokensPerSecond(long maxTokensPerSecond) {
			this.maxTokensPerSecond = maxTokensPerSecond;
			return this;
		}

		public Builder maxInFlight(int maxInFlight) {
			this.maxInFlight = maxInFlight;
			return this;
		}

		public Builder deadlineMillis(long deadlineMillis) {
			this.deadlineMillis = deadlineMillis;
			return this;
		}

		public Builder maxSentAwayPercent(int maxSentAwayPercent) {
			this.maxSentAwayPercent = maxSentAwayPercent;
			return this;
		}

		public Builder calls(List<CallRule> calls) {
			this.calls = calls;
			return this;
		}

		public ContractService build() {
			return new ContractService(this);
		}

	}

}
