package org.vanillatrestle.daemon.internal.operator;

import java.util.List;
import java.util.Optional;

import org.vanillatrestle.daemon.internal.pipeline.BearerKeys;
import org.vanillatrestle.daemon.internal.settings.OperatorSettings;

/**
 * Recognises operators by their bearer keys.
 * <p>
 * Immutable and thread safe. Every known hash is compared, each in constant time.
 */
public final class OperatorKeys {

	private final List<OperatorSettings> operators;

	/**
	 * Creates the list of operators.
	 * @param operators the operators
	 */
	public OperatorKeys(List<OperatorSettings> operators) {
		this.operators = List.copyOf(operators);
	}

	/**
	 * Finds the operator to whom a key belongs.
	 * @param key the bearer key
	 * @return the operator's name, or empty if the key is not known
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
