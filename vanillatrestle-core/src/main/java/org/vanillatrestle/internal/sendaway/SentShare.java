package org.vanillatrestle.internal.sendaway;

/**
 * The share of a service's requests that was sent away of late.
 * <p>
 * Not thread safe.
 */
final class SentShare {

	private static final double WINDOW = 200;

	private double requests;

	private double sent;

	void arrived() {
		this.requests++;
		if (this.requests > WINDOW) {
			this.requests /= 2;
			this.sent /= 2;
		}
	}

	void sent() {
		this.sent++;
	}

	boolean below(int percent) {
		return (this.sent + 1) * 100 <= Math.max(1, this.requests) * percent || percent >= 100;
	}

}
