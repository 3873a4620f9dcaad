package org.vanillatrestle.internal.sendaway;

/**
 * The share of a service's recent requests that was forwarded. Both counts are halved
 * when the number of requests exceeds the window, which gives older requests less weight.
 * <p>
 * Not thread safe.
 */
final class ForwardedShare {

	private static final double WINDOW_REQUESTS = 200;

	private double requests;

	private double forwarded;

	void requestArrived() {
		this.requests++;
		if (this.requests > WINDOW_REQUESTS) {
			this.requests /= 2;
			this.forwarded /= 2;
		}
	}

	void requestForwarded() {
		this.forwarded++;
	}

	/**
	 * Returns whether one more request can be forwarded within a maximum share.
	 * @param percent the maximum share of forwarded requests, in percent
	 * @return {@code true} if one more request can be forwarded
	 */
	boolean canForward(int percent) {
		return (this.forwarded + 1) * 100 <= Math.max(1, this.requests) * percent || percent >= 100;
	}

}
