package org.vanillatrestle.bench.internal.standin;

/**
 * Holds the fault in force and gives it to as many requests as its command says.
 * <p>
 * Thread safe.
 */
public final class FaultSwitch {

	private Fault current = Fault.NONE;

	private int remaining;

	/**
	 * Puts a fault in force.
	 * @param fault the fault
	 */
	public synchronized void set(Fault fault) {
		this.current = fault;
		this.remaining = fault.times();
	}

	/**
	 * Returns the fault in force without counting a request.
	 * @return the fault
	 */
	public synchronized Fault current() {
		return this.current;
	}

	/**
	 * Returns the fault that hits one new request.
	 * @return the fault
	 */
	public synchronized Fault take() {
		Fault taken = this.current;
		if (taken.times() > 0 && --this.remaining == 0) {
			this.current = Fault.NONE;
		}
		return taken;
	}

}
