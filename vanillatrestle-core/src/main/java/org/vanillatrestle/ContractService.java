package org.vanillatrestle;

import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * One service of a contract with its limits.
 * <p>
 * Immutable and thread safe. Limits are global: over all regions and VMs together.
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
	 * Starts a service with the default limits.
	 * @param name the service's name within its contract
	 * @param kind the service's kind
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
	 * Returns the models that callers may ask for.
	 * @return the models, empty for a plain service
	 */
	public Set<ModelName> models() {
		return this.models;
	}

	/**
	 * Returns the priority among the customers' services.
	 * @return 0 for the lowest to {@link #MAX_PRIORITY}
	 */
	public int priority() {
		return this.priority;
	}

	public long maxRequestsPerSecond() {
		return this.maxRequestsPerSecond;
	}

	/**
	 * Returns the limit on prompt and completion tokens together.
	 * @return tokens a second
	 */
	public long maxTokensPerSecond() {
		return this.maxTokensPerSecond;
	}

	public int maxInFlight() {
		return this.maxInFlight;
	}

	/**
	 * Returns the longest time a request may take, from its arrival to its last byte.
	 * @return milliseconds
	 */
	public long deadlineMillis() {
		return this.deadlineMillis;
	}

	/**
	 * Returns the greatest share of requests that may be sent to another region while the
	 * home region has capacity.
	 * @return percent, 0 to 100
	 */
	public int maxSentAwayPercent() {
		return this.maxSentAwayPercent;
	}

	/**
	 * Returns the rules of calls, the first match counts.
	 * @return the rules, empty for a model service
	 */
	public List<CallRule> calls() {
		return this.calls;
	}

	/**
	 * Returns the rule for a call, or the default where no rule names it.
	 * @param method the HTTP method in upper case
	 * @param path the path below the service, without a query
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
	 * Collects the settings of a service. Not thread safe.
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
