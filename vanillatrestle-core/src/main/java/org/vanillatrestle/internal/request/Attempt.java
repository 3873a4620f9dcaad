package org.vanillatrestle.internal.request;

/**
 * An attempt to run a request at a target or in another data centre. It ends once; a
 * second end is ignored.
 * <p>
 * Not thread safe: owned by the VM's event loop.
 */
public final class Attempt {

	private final Ticket ticket;

	private final Placement placement;

	private final long startedNanos;

	private long firstByteNanos;

	private boolean firstByteReceived;

	private boolean finished;

	private double workUnits = 1;

	private long expectedFirstByteNanos;

	public Attempt(Ticket ticket, Placement placement, long startedNanos) {
		this.ticket = ticket;
		this.placement = placement;
		this.startedNanos = startedNanos;
	}

	public PolicyRequest request() {
		return this.ticket.request();
	}

	public Ticket ticket() {
		return this.ticket;
	}

	public Placement placement() {
		return this.placement;
	}

	/**
	 * Returns the monotonic time of the dispatch.
	 * @return nanoseconds
	 */
	public long startedNanos() {
		return this.startedNanos;
	}

	/**
	 * Returns the monotonic time of the answer's first byte.
	 * @return nanoseconds, valid only if {@link #isFirstByteReceived()}
	 */
	public long firstByteNanos() {
		return this.firstByteNanos;
	}

	/**
	 * Returns the work until the first byte, as estimated at the dispatch.
	 * @return work units: prompt tokens to process plus a fixed amount
	 */
	public double workUnits() {
		return this.workUnits;
	}

	public void workUnits(double newUnits) {
		this.workUnits = newUnits;
	}

	/**
	 * Returns the time to the first byte, as estimated at the dispatch.
	 * @return nanoseconds
	 */
	public long expectedFirstByteNanos() {
		return this.expectedFirstByteNanos;
	}

	public void expectedFirstByteNanos(long nanos) {
		this.expectedFirstByteNanos = nanos;
	}

	public boolean isFirstByteReceived() {
		return this.firstByteReceived;
	}

	/**
	 * Records the first byte of the answer.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return {@code true} if this was recorded, {@code false} if a first byte was
	 * recorded before or the attempt has ended
	 */
	public boolean recordFirstByte(long nowNanos) {
		if (this.firstByteReceived || this.finished) {
			return false;
		}
		this.firstByteReceived = true;
		this.firstByteNanos = nowNanos;
		return true;
	}

	/**
	 * Records the end of the attempt.
	 * @return whether the attempt had not ended before
	 */
	public boolean finish() {
		boolean first = !this.finished;
		this.finished = true;
		return first;
	}

}
