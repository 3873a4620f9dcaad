package org.vanillatrestle.bench.internal.standin;

/**
 * By what a stand-in is commanded and inspected.
 * <p>
 * Thread safe. The announcer exists once the stand-in's port is known, which is before
 * the first request is served.
 */
public final class StandInControl {

	private final FaultSwitch faults = new FaultSwitch();

	private final RunLog runs = new RunLog();

	private volatile Announcer announcer;

	public FaultSwitch faults() {
		return this.faults;
	}

	public RunLog runs() {
		return this.runs;
	}

	public Announcer announcer() {
		return this.announcer;
	}

	/**
	 * Sets the announcer.
	 * @param announcer the announcer
	 */
	public void announcer(Announcer announcer) {
		this.announcer = announcer;
	}

}
