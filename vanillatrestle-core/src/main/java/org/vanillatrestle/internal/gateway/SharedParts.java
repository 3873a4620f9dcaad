package org.vanillatrestle.internal.gateway;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.vanillatrestle.TargetId;
import org.vanillatrestle.internal.declaration.ModelEngine;

/**
 * This VM's estimate of which targets have cached the shared parts of one request's
 * prompt.
 * <p>
 * Reduces repeated reading when many prompts share parts. All VMs prefer the same target
 * for a part, so that it is read once. If that target is busy, another target copies the
 * part from a target to which this VM sent it, provided that copying takes much less time
 * than reading. Immutable, but not thread safe because it reads the state of targets.
 */
final class SharedParts {

	/**
	 * Shared parts are copied from another target only if this takes less than this
	 * fraction of the time to read them.
	 */
	private static final double MAX_COPY_TIME_FRACTION = 0.5;

	/**
	 * The fraction of an engine's cache memory in which the parts sent by this VM are
	 * expected to stay. This is optimistic, because other VMs fill the cache too, but a
	 * copy that fails costs no more than reading.
	 */
	private static final double KEPT_CACHE_FRACTION = 0.7;

	private final RequestShape shape;

	private final Optional<GatewayTarget> preferred;

	private final Optional<GatewayTarget> holder;

	private final int holderTokens;

	private SharedParts(RequestShape shape, Optional<GatewayTarget> preferred, Optional<GatewayTarget> holder) {
		this.shape = shape;
		this.preferred = preferred;
		this.holder = holder;
		this.holderTokens = holder.map(this::sentTokens).orElse(0);
	}

	/**
	 * Estimates which targets have cached the shared parts of a request's prompt.
	 * @param shape the request
	 * @param offered the targets of the request's service that accept requests
	 * @param speed the reading speed of the service's targets
	 * @param nowNanos the monotonic time
	 * @return the estimate
	 */
	static SharedParts of(RequestShape shape, Collection<GatewayTarget> offered, ServiceSpeed speed, long nowNanos) {
		List<PromptPart> shared = shape.sharedParts();
		if (shared.isEmpty() || shape.service().engine().isEmpty()) {
			return new SharedParts(shape, Optional.empty(), Optional.empty());
		}
		String lastPartId = shared.get(shared.size() - 1).id();
		// rendezvous hashing: highest random weight (Thaler and Ravishankar, 1998)
		Optional<GatewayTarget> preferred = offered.stream()
			.max(Comparator.comparingLong((target) -> weight(lastPartId, target.id())))
			.filter((target) -> !target.isNew(nowNanos));
		int tokens = shape.sharedTokens();
		boolean copyIsFaster = shape.service().engine().get().estimateCopyMillis(tokens) < MAX_COPY_TIME_FRACTION
				* speed.readMillis(tokens, nowNanos);
		// the preferred target is not assumed to hold the parts: it may never have read
		// them
		Optional<GatewayTarget> holder = offered.stream()
			.filter((target) -> copyIsFaster && !target.health().isProbing())
			.max(Comparator.comparingInt((target) -> target.prefixCache().cachedTokens(shape.parts())));
		return new SharedParts(shape, preferred, holder);
	}

	private static long weight(String lastPartId, TargetId target) {
		long mixed = lastPartId.hashCode() * 0x9E3779B97F4A7C15L + target.value().hashCode() * 0xC2B2AE3D27D4EB4FL;
		mixed = (mixed ^ (mixed >>> 29)) * 0xBF58476D1CE4E5B9L;
		return mixed ^ (mixed >>> 32);
	}

	/**
	 * Returns how many tokens of the parts sent by this VM are expected to stay in a
	 * target's cache.
	 * @param engine the engine of the target
	 * @return the tokens
	 */
	static long keptTokens(ModelEngine engine) {
		return (long) (KEPT_CACHE_FRACTION * engine.cacheCapacityTokens());
	}

	private int sentTokens(GatewayTarget target) {
		return target.prefixCache().cachedTokens(this.shape.parts());
	}

	private int cachedTokens(GatewayTarget target) {
		int sentTokens = sentTokens(target);
		boolean hasAllShared = this.preferred.isPresent() && this.preferred.get() == target;
		return hasAllShared ? Math.max(sentTokens, this.shape.sharedTokens()) : sentTokens;
	}

	/**
	 * Returns the prompt tokens that a target would have to read.
	 * @param target the target
	 * @return the tokens that are neither cached by the target nor copied from another
	 */
	long unreadTokens(GatewayTarget target) {
		return Math.max(0, this.shape.promptTokens() - Math.max(cachedTokens(target), this.holderTokens));
	}

	/**
	 * Returns the target from which another one should copy shared parts.
	 * @param target the target that would run the request
	 * @return the target that has cached more of the prompt, empty if there is none
	 */
	Optional<GatewayTarget> copySource(GatewayTarget target) {
		return (this.holderTokens > cachedTokens(target)) ? this.holder : Optional.empty();
	}

	/**
	 * Estimates how long a target takes to copy the parts that it has not cached.
	 * @param target the target that would run the request
	 * @return the time in milliseconds, 0 if it copies nothing
	 */
	double copyMillis(GatewayTarget target) {
		int missingTokens = this.holderTokens - cachedTokens(target);
		return (missingTokens > 0) ? this.shape.service().engine().orElseThrow().estimateCopyMillis(missingTokens) : 0;
	}

}
