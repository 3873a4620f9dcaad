package org.vanillatrestle;

/**
 * The kind of a service, which determines what its targets serve.
 * <p>
 * Immutable and thread safe.
 */
public enum ServiceKind {

	/**
	 * A service whose targets are model engines that answer chat completions.
	 */
	MODEL,

	/**
	 * A service whose targets answer ordinary HTTP calls.
	 */
	PLAIN

}
