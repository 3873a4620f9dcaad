package org.vanillatrestle.daemon;

/**
 * The role of a VM in a declared deployment.
 */
public enum GatewayRole {

	/**
	 * Accepts requests from callers.
	 */
	ENTRY,

	/**
	 * Holds a replica of the declared state, receives the reports of targets and answers
	 * directory look-ups.
	 */
	CONTROL

}
