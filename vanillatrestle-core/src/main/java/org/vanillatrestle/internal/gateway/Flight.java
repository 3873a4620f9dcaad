package org.vanillatrestle.internal.gateway;

import org.vanillatrestle.internal.fleet.FlightLoad;

/**
 * One request in flight at a target, as counted in the target's load.
 * <p>
 * Ends once; later calls have no effect. Not thread safe.
 */
public final class Flight {

	private final GatewayTarget target;

	private final ServiceSpeed speed;

	private final RequestShape shape;

	private final long bornMillis;

	private final long sentNanos;

	private final long queuedTokens;

	private FlightLoad load;

	private boolean answering;

	private boolean ended;

	Flight(GatewayTarget target, ServiceSpeed speed, RequestShape shape, long unreadTokens, long nowNanos) {
		this.target = target;
		this.speed = speed;
		this.shape = shape;
		this.bornMillis = target.report().bornMillis();
		this.sentNanos = nowNanos;
		this.queuedTokens = target.total().unreadTokens();
		this.load = new FlightLoad(target.id(), 1, unreadTokens, unreadTokens + shape.maxOutputTokens());
		target.add(this.load);
	}

	public GatewayTarget target() {
		return this.target;
	}

	/**
	 * When the incarnation started to which the request was sent.
	 * @return the time in Unix milliseconds
	 */
	public long bornMillis() {
		return this.bornMillis;
	}

	/**
	 * The target turned the request away and wants no others for a while.
	 * @param millis for how long
	 * @param nowNanos the monotonic time
	 */
	public void pauseAsked(long millis, long nowNanos) {
		if (this.target.report().bornMillis() == this.bornMillis) {
			this.target.pause(millis, nowNanos);
		}
		end();
	}

	/**
	 * The first part of the answer has come.
	 * @param nowNanos the monotonic time
	 */
	public void answering(long nowNanos) {
		if (this.answering || this.ended) {
			return;
		}
		this.answering = true;
		double millis = (nowNanos - this.sentNanos) / 1e6;
		if (this.shape.service().engine().isPresent()) {
			this.speed.promptRead(this.load.unreadTokens(), this.queuedTokens, millis, this.target.pace());
		}
		FlightLoad read = new FlightLoad(this.target.id(), 0, this.load.unreadTokens(), 0);
		this.target.remove(read);
		this.load = this.load.minus(read);
	}

	/**
	 * The stream went on after a pause.
	 * @param millis the pause
	 * @param nowNanos the monotonic time
	 */
	public void paused(long millis, long nowNanos) {
		if (!this.ended) {
			this.target.pace().paused(millis, nowNanos);
		}
	}

	/**
	 * The answer is whole, whatever its status.
	 * @param nowNanos the monotonic time
	 */
	public void answered(long nowNanos) {
		if (this.ended) {
			return;
		}
		if (this.shape.service().engine().isEmpty()) {
			this.speed.plainAnswered((nowNanos - this.sentNanos) / 1e6);
		}
		this.target.health().succeeded();
		end();
	}

	/**
	 * The answer is whole and says that the request failed, which may be the request's
	 * own fault.
	 * @param nowNanos the monotonic time
	 */
	public void answeredWithError(long nowNanos) {
		if (!this.ended) {
			this.target.health().answeredWithError();
			end();
		}
	}

	/**
	 * The target failed the request.
	 * @param unreachable whether no connection could be made
	 * @param nowNanos the monotonic time
	 * @return whether the target is ejected by this
	 */
	public boolean failed(boolean unreachable, long nowNanos) {
		if (this.ended) {
			return false;
		}
		end();
		return this.target.health().failed(unreachable, nowNanos);
	}

	/**
	 * Ends without a judgement of the target.
	 */
	public void end() {
		if (!this.ended) {
			this.ended = true;
			this.target.remove(this.load);
		}
	}

}
