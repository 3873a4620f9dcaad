package org.vanillatrestle.daemon;

/**
 * What a VM of a declared deployment does.
 */
public enum GatewayRole {

	/**
	 * Takes callers' requests.
	 */
	ENTRY,

	/**
	 * Holds a replica of the declared state, takes targets' reports and answers the
	 * directory.
	 */
	CONTROL

}
