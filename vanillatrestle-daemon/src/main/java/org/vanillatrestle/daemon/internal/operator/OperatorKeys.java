package org.vanillatrestle.daemon.internal.operator;

import java.util.List;
import java.util.Optional;

import org.vanillatrestle.daemon.internal.pipeline.BearerKeys;
import org.vanillatrestle.daemon.internal.settings.OperatorSettings;

/**
 * Identifies operators by their bearer keys.
 * <p>
 * Immutable and thread safe. A key is compared with every known hash, each in constant
 * time.
 */
public final class OperatorKeys {

	private final List<OperatorSettings> operators;

	/**
	 * Creates a lookup for the given operators.
	 * @param operators the operators with their key hashes
	 */
	public OperatorKeys(List<OperatorSettings> operators) {
		this.operators = List.copyOf(operators);
	}

	/**
	 * Finds the operator that a key belongs to.
	 * @param key the bearer key
	 * @return the operator's name, or empty if the key is unknown
	 */
	public Optional<String> operator(String key) {
		String keySha256 = BearerKeys.sha256(key);
		Optional<String> found = Optional.empty();
		for (OperatorSettings operator : this.operators) {
			if (BearerKeys.isSameHash(operator.keySha256(), keySha256)) {
				found = Optional.of(operator.name());
			}
		}
		return found;
	}

}
