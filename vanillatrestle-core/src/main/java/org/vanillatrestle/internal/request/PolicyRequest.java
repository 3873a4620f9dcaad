package org.vanillatrestle.internal.request;

import java.util.Optional;
import java.util.Set;

import org.vanillatrestle.ContractService;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.ModelName;
import org.vanillatrestle.Objective;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.Repeat;

/**
 * The properties of a request that the policy uses for its decisions.
 * <p>
 * Immutable and thread safe. The allowed regions are those of the contract that was in
 * effect when the request arrived; the policy never places the request outside of them.
 */
public final class PolicyRequest {

	private final CustomerId customer;

	private final ContractService service;

	private final PoolKey pool;

	private final Optional<ModelName> model;

	private final Repeat repeat;

	private final int priority;

	private final int promptTokens;

	private final int maxTokens;

	private final long prefixHash;

	private final long requestBytes;

	private final long deadlineNanos;

	private final RegionId homeRegion;

	private final Objective objective;

	private final Set<RegionId> allowedRegions;

	private final boolean forwardedByOtherVm;

	private final int senderAttempts;

	private final boolean begunAtSender;

	private PolicyRequest(Builder builder) {
		this.customer = builder.customer;
		this.service = builder.service;
		this.model = Optional.ofNullable(builder.model);
		this.pool = PoolKey.of(builder.customer, builder.service.name(), this.model);
		this.repeat = builder.repeat;
		this.priority = (builder.priority >= 0) ? builder.priority : builder.service.priority();
		this.promptTokens = builder.promptTokens;
		this.maxTokens = builder.maxTokens;
		this.prefixHash = builder.prefixHash;
		this.requestBytes = builder.requestBytes;
		this.deadlineNanos = builder.deadlineNanos;
		this.homeRegion = builder.homeRegion;
		this.objective = builder.objective;
		this.allowedRegions = Set.copyOf(builder.allowedRegions);
		this.forwardedByOtherVm = builder.forwarded;
		this.senderAttempts = builder.senderAttempts;
		this.begunAtSender = builder.begunAtSender;
	}

	/**
	 * Creates a builder for a request.
	 * @param customer the customer
	 * @param service the service of the customer's contract
	 * @return the builder
	 */
	public static Builder builder(CustomerId customer, ContractService service) {
		return new Builder(customer, service);
	}

	public CustomerId customer() {
		return this.customer;
	}

	public ContractService service() {
		return this.service;
	}

	/**
	 * Returns the pool of targets that can serve the request.
	 * @return the pool
	 */
	public PoolKey pool() {
		return this.pool;
	}

	public Optional<ModelName> model() {
		return this.model;
	}

	public Repeat repeat() {
		return this.repeat;
	}

	/**
	 * Returns the priority.
	 * @return the priority, from 0 (lowest) to 9
	 */
	public int priority() {
		return this.priority;
	}

	/**
	 * Returns the estimated number of tokens of the prompt.
	 * @return tokens, 0 for plain services
	 */
	public int promptTokens() {
		return this.promptTokens;
	}

	/**
	 * Returns the maximum number of tokens of the answer.
	 * @return tokens, 0 for plain services
	 */
	public int maxTokens() {
		return this.maxTokens;
	}

	/**
	 * Returns the hash of the part of the prompt that other requests are likely to share.
	 * @return the hash, 0 for none
	 */
	public long prefixHash() {
		return this.prefixHash;
	}

	/**
	 * Returns the size of the request.
	 * @return bytes
	 */
	public long requestBytes() {
		return this.requestBytes;
	}

	/**
	 * Returns the monotonic time after which the answer is no longer useful.
	 * @return nanoseconds
	 */
	public long deadlineNanos() {
		return this.deadlineNanos;
	}

	public RegionId homeRegion() {
		return this.homeRegion;
	}

	public Objective objective() {
		return this.objective;
	}

	/**
	 * Returns the regions where the request may be processed.
	 * @return the regions
	 */
	public Set<RegionId> allowedRegions() {
		return this.allowedRegions;
	}

	/**
	 * Tells whether another VM forwarded the request to this VM. Such a request is not
	 * forwarded again, and the VM that forwarded it has already counted it against the
	 * contract's limits.
	 * @return whether the request was forwarded
	 */
	public boolean isForwarded() {
		return this.forwardedByOtherVm;
	}

	/**
	 * Returns the number of attempts that another VM made before it forwarded the request
	 * to this VM.
	 * @return the number of attempts, 0 if the request was not forwarded
	 */
	public int senderAttempts() {
		return this.senderAttempts;
	}

	/**
	 * Tells whether the caller already has a part of the answer, which this VM is to
	 * continue. The rules that refuse or queue new requests don't hold for such a
	 * request.
	 * @return whether another VM forwarded the rest of a stream to this VM
	 */
	public boolean isBegunAtSender() {
		return this.begunAtSender;
	}

	/**
	 * Returns the number of tokens that count against the contract's limit.
	 * @return the prompt tokens plus the maximum number of answer tokens
	 */
	public long countedTokens() {
		return (long) this.promptTokens + this.maxTokens;
	}

	/**
	 * Builder of a request. Not thread safe.
	 */
	public static final class Builder {

		private final CustomerId customer;

		private final ContractService service;

		private ModelName model;

		private Repeat repeat = Repeat.AT_MOST_ONCE;

		private int priority = -1;

		private int promptTokens;

		private int maxTokens;

		private long prefixHash;

		private long requestBytes;

		private long deadlineNanos = Long.MAX_VALUE;

		private RegionId homeRegion;

		private Objective objective = Objective.TAIL_LATENCY;

		private Set<RegionId> allowedRegions = Set.of();

		private boolean forwarded;

		private int senderAttempts;

		private boolean begunAtSender;

		private Builder(CustomerId customer, ContractService service) {
			this.customer = customer;
			this.service = service;
		}

		public Builder model(ModelName model) {
			this.model = model;
			return this;
		}

		public Builder repeat(Repeat repeat) {
			this.repeat = repeat;
			return this;
		}

		public Builder priority(int priority) {
			this.priority = priority;
			return this;
		}

		public Builder promptTokens(int promptTokens) {
			this.promptTokens = promptTokens;
			return this;
		}

		public Builder maxTokens(int maxTokens) {
			this.maxTokens = maxTokens;
			return this;
		}

		public Builder prefixHash(long prefixHash) {
			this.prefixHash = prefixHash;
			return this;
		}

		public Builder requestBytes(long requestBytes) {
			this.requestBytes = requestBytes;
			return this;
		}

		public Builder deadlineNanos(long deadlineNanos) {
			this.deadlineNanos = deadlineNanos;
			return this;
		}

		public Builder homeRegion(RegionId home) {
			this.homeRegion = home;
			return this;
		}

		public Builder objective(Objective objective) {
			this.objective = objective;
			return this;
		}

		public Builder allowedRegions(Set<RegionId> allowedRegions) {
			this.allowedRegions = allowedRegions;
			return this;
		}

		public Builder forwarded(boolean forwarded) {
			this.forwarded = forwarded;
			return this;
		}

		public Builder senderAttempts(int senderAttempts) {
			this.senderAttempts = senderAttempts;
			return this;
		}

		public Builder begunAtSender(boolean begunAtSender) {
			this.begunAtSender = begunAtSender;
			return this;
		}

		public PolicyRequest build() {
			return new PolicyRequest(this);
		}

	}

}
