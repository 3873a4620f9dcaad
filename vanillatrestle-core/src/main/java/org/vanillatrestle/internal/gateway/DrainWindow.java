package org.vanillatrestle.internal.gateway;

/**
 * Decides which requests a VM that shuts down still accepts.
 * <p>
 * Callers of earlier directory answers are served as usual at first. After that a request
 * is accepted only if its own time limit ends while the VM still serves, so that none has
 * to be cut. Immutable and thread safe.
 *
 * @param unconditionalMillis the time from the start of the shutdown in which all
 * requests are accepted
 * @param endMillis the time from the start of the shutdown at which the VM ends the
 * requests in progress
 */
public record DrainWindow(long unconditionalMillis, long endMillis) {

	/**
	 * Returns the window for requests that other VMs forward. These VMs can send them
	 * elsewhere, so that none is accepted that may outlast this VM.
	 * @return the window without a time in which all requests are accepted
	 */
	public DrainWindow forForwardedRequests() {
		return new DrainWindow(0, this.endMillis);
	}

	/**
	 * Decides whether to accept a request.
	 * @param elapsedMillis the time since the start of the shutdown
	 * @param requestMillis the time within which the request has to be answered, negative
	 * if unknown
	 * @return whether to accept the request
	 */
	public boolean accepts(long elapsedMillis, long requestMillis) {
		return elapsedMillis < this.unconditionalMillis
				|| (requestMillis >= 0 && elapsedMillis + requestMillis <= this.endMillis);
	}

}
