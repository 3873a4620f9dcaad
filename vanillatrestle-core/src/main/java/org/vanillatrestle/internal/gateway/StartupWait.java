package org.vanillatrestle.internal.gateway;

/**
 * Computes how long a request may wait at a VM that has just started and does not yet
 * know the declaration or the targets that it needs to serve the request.
 * <p>
 * Handles a restart of the whole site after a power failure: all callers reconnect while
 * the control VMs are starting too. A VM usually learns the declaration and the targets
 * within a second or so of its start. A request that waits for them is served sooner than
 * one that is refused and sent again. Immutable and thread safe.
 */
public final class StartupWait {

	/**
	 * The time from its start within which a VM usually knows the declaration, even if
	 * all VMs restart at once. Measured on the users' bench: 0.9 s.
	 */
	private static final long DECLARED_MILLIS = 1_200;

	/**
	 * The time from its start within which a VM usually knows all targets. According to
	 * the platform's documentation, targets report every 1.2 s.
	 */
	private static final long TARGETS_MILLIS = 2_500;

	/**
	 * The fraction of its remaining time that a request may wait. The rest must suffice
	 * for a retry if a target fails the request.
	 */
	private static final double MAX_WAIT_FRACTION = 0.25;

	private static final long MAX_WAIT_MILLIS = 1_000;

	private static final long MIN_RETRY_MILLIS = 400;

	private StartupWait() {
	}

	/**
	 * Returns how long a request may wait for the declaration.
	 * @param upMillis the time since the VM started, in milliseconds
	 * @param leftMillis the time in milliseconds that the caller waits, negative if
	 * unknown
	 * @return the time from now in milliseconds, 0 to refuse the request at once
	 */
	public static long forDeclarationMillis(long upMillis, long leftMillis) {
		return boundedMillis(DECLARED_MILLIS - upMillis, leftMillis);
	}

	/**
	 * Returns how long a request may wait if no target of its service is known.
	 * @param upMillis the time since the VM started, in milliseconds
	 * @param leftMillis the time in milliseconds until the request's deadline
	 * @return the time from now in milliseconds, 0 to wait no longer than at a VM that
	 * started long ago
	 */
	public static long forTargetsMillis(long upMillis, long leftMillis) {
		return boundedMillis(TARGETS_MILLIS - upMillis, leftMillis);
	}

	private static long boundedMillis(long millis, long leftMillis) {
		long maxMillis = (leftMillis < 0) ? MAX_WAIT_MILLIS
				: Math.min(MAX_WAIT_MILLIS, Math.round(MAX_WAIT_FRACTION * leftMillis));
		return Math.max(0, Math.min(maxMillis, millis));
	}

	/**
	 * Returns the retry delay for a caller that is refused because the declaration is not
	 * known yet.
	 * @param upMillis the time since the VM started, in milliseconds
	 * @return the time from now in milliseconds
	 */
	public static long retryMillis(long upMillis) {
		return Math.max(MIN_RETRY_MILLIS, DECLARED_MILLIS - upMillis);
	}

}
