package org.vanillatrestle.internal.request;

/**
 * An admitted or queued request.
 * <p>
 * Compared by identity. Not thread safe: owned by the VM's event loop. Each ticket is
 * released once; a second release is ignored.
 */
public final class Ticket {

	private final PolicyRequest request;

	private final long arrivedNanos;

	private Stage stage = Stage.QUEUED;

	private boolean attempted;

	public Ticket(PolicyRequest request, long arrivedNanos) {
		this.request = request;
		this.arrivedNanos = arrivedNanos;
	}

	public PolicyRequest request() {
		return this.request;
	}

	/**
	 * Returns the monotonic time at which the request arrived.
	 * @return nanoseconds
	 */
	public long arrivedNanos() {
		return this.arrivedNanos;
	}

	public Stage stage() {
		return this.stage;
	}

	public void stage(Stage stage) {
		this.stage = stage;
	}

	/**
	 * Records an attempt of the request at this VM.
	 * @return whether it is the first
	 */
	public boolean markAttempted() {
		boolean first = !this.attempted;
		this.attempted = true;
		return first;
	}

	/**
	 * The stages in the life of a ticket.
	 */
	public enum Stage {

		/**
		 * The request waits in the queue.
		 */
		QUEUED,

		/**
		 * The request may be placed; until it is placed, it holds a slot of its pool.
		 */
		ADMITTED,

		/**
		 * The request was placed at least once.
		 */
		PLACED,

		/**
		 * The request has ended.
		 */
		RELEASED

	}

}
