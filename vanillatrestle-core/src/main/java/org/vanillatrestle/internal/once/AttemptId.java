package org.vanillatrestle.internal.once;

/**
 * Identifies one attempt to run a call.
 * <p>
 * Immutable and thread safe. Unique with overwhelming probability: 128 random bits drawn
 * by the VM that makes the attempt.
 *
 * @param high the upper 64 bits
 * @param low the lower 64 bits
 */
public record AttemptId(long high, long low) {

	@Override
	public String toString() {
		return String.format("%016x%016x", this.high, this.low);
	}

}
