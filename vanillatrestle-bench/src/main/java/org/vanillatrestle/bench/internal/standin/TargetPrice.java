package org.vanillatrestle.bench.internal.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.vanillatrestle.bench.internal.http.Responses;

/**
 * What a target announces of its capacity and price.
 * <p>
 * Immutable and thread safe.
 *
 * @param maxRunning how many requests it serves at once
 * @param tokensPerSecond tokens it generates per second in all, 0 for a plain service
 * @param priceMicrosPerThousandTokens price of a thousand tokens, in millionths
 * @param priceMicrosPerRequest price of a request, in millionths
 */
public record TargetPrice(int maxRunning, long tokensPerSecond, long priceMicrosPerThousandTokens,
		long priceMicrosPerRequest) {

	/**
	 * Writes the announcement's {@code capacity}.
	 * @return the object
	 */
	public ObjectNode toJson() {
		return Responses.object()
			.put("maxRunning", this.maxRunning)
			.put("tokensPerSecond", this.tokensPerSecond)
			.put("priceMicrosPerThousandTokens", this.priceMicrosPerThousandTokens)
			.put("priceMicrosPerRequest", this.priceMicrosPerRequest);
	}

}
