package org.vanillatrestle.internal.target;

/**
 * The address at which a target accepts HTTP requests.
 * <p>
 * Immutable and thread safe.
 *
 * @param host the IP address
 * @param port the TCP port
 */
public record TargetAddress(String host, int port) {

	@Override
	public String toString() {
		return this.host + ":" + this.port;
	}

}
