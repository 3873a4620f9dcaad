package org.vanillatrestle.internal.gateway;

import java.util.List;

import org.vanillatrestle.ServiceName;
import org.vanillatrestle.internal.fleet.InFlightLoad;

/**
 * One request in flight at a target, counted in the target's load until it ends.
 * <p>
 * A request ends once; later calls that would end it have no effect. Not thread safe.
 */
public final class InFlightRequest {

	private final GatewayTarget target;

	private final ServiceSpeed serviceSpeed;

	private final RequestShape shape;

	private final long targetStartedMillis;

	private final long sentNanos;

	private final long queuedTokensWhenSent;

	private InFlightLoad load;

	private int events;

	private boolean answerStarted;

	private boolean ended;

	InFlightRequest(GatewayTarget target, ServiceSpeed serviceSpeed, RequestShape shape, long unreadTokens,
			long nowNanos) {
		this.target = target;
		this.serviceSpeed = serviceSpeed;
		this.shape = shape;
		this.targetStartedMillis = target.report().startedMillis();
		this.sentNanos = nowNanos;
		this.queuedTokensWhenSent = target.totalLoad().unreadTokens();
		this.load = new InFlightLoad(target.id(), 1, unreadTokens, unreadTokens + shape.maxOutputTokens());
		target.add(this.load);
	}

	public GatewayTarget target() {
		return this.target;
	}

	/**
	 * Returns the parts of the prompt that other requests may have in common.
	 * @return the parts in order, empty if the prompt has no known parts
	 */
	public List<PromptPart> sharedParts() {
		return this.shape.sharedParts();
	}

	public ServiceName service() {
		return this.shape.service().name();
	}

	/**
	 * Returns the start time of the target incarnation to which the request was sent.
	 * @return the time in Unix milliseconds
	 */
	public long targetStartedMillis() {
		return this.targetStartedMillis;
	}

	/**
	 * Notes that the target rejected the request and asked for a pause, and ends the
	 * request. The pause is ignored if the target has restarted since.
	 * @param millis the length of the pause in milliseconds
	 * @param nowNanos the monotonic time
	 */
	public void pauseRequested(long millis, long nowNanos) {
		if (this.target.report().startedMillis() == this.targetStartedMillis) {
			this.target.pause(millis, nowNanos);
		}
		end();
	}

	/**
	 * Notes the limit that the answer states.
	 * @param requestsPerSecond the requests per second that the target takes from all VMs
	 * together, {@link Double#POSITIVE_INFINITY} if there is no limit
	 * @param nowNanos the monotonic time
	 * @return whether the fleet must be told of the first statement or a changed limit,
	 * which is never the case if the target has restarted since
	 */
	public boolean limitStated(double requestsPerSecond, long nowNanos) {
		return this.target.report().startedMillis() == this.targetStartedMillis
				&& this.target.isLimitChangedBy(requestsPerSecond, this.sentNanos, nowNanos);
	}

	/**
	 * Notes that the first part of the answer has arrived.
	 * @param nowNanos the monotonic time
	 */
	public void answerStarted(long nowNanos) {
		if (this.answerStarted || this.ended) {
			return;
		}
		this.answerStarted = true;
		this.target.recordAnswer();
		double millis = (nowNanos - this.sentNanos) / 1e6;
		if (this.shape.service().engine().isPresent()) {
			this.serviceSpeed.recordPromptRead(this.load.unreadTokens(), this.queuedTokensWhenSent, millis,
					this.target.speed(), nowNanos);
		}
		InFlightLoad readLoad = new InFlightLoad(this.target.id(), 0, this.load.unreadTokens(), 0);
		this.target.remove(readLoad);
		this.load = this.load.minus(readLoad);
	}

	/**
	 * Notes that a part of the answer has arrived.
	 * @param nowNanos the monotonic time
	 */
	public void recordProgress(long nowNanos) {
		this.target.recordProgress(nowNanos);
	}

	/**
	 * Notes that the answer's stream has resumed after a pause.
	 * @param millis the length of the pause in milliseconds
	 * @param nowNanos the monotonic time
	 */
	public void recordStreamPause(long millis, long nowNanos) {
		if (!this.ended) {
			this.events++;
			this.target.speed().recordPause(millis, nowNanos);
		}
	}

	/**
	 * Notes that the answer is complete and reports no error of the target, and ends the
	 * request as a success.
	 * @param nowNanos the monotonic time
	 */
	public void answered(long nowNanos) {
		if (this.ended) {
			return;
		}
		this.target.recordAnswer();
		if (this.shape.service().engine().isEmpty()) {
			recordAnswerTime(nowNanos);
		}
		else {
			// the first event follows no pause
			this.serviceSpeed.answerPace().recordAnswer(this.shape.maxOutputTokens(), this.events + 1);
		}
		this.target.health().succeeded();
		end();
	}

	// a former incarnation says nothing about the speed of the present one
	private void recordAnswerTime(long nowNanos) {
		if (this.target.report().startedMillis() == this.targetStartedMillis) {
			this.serviceSpeed.recordPlainAnswer((nowNanos - this.sentNanos) / 1e6, this.target.speed(), nowNanos);
		}
	}

	/**
	 * Notes that the answer is complete and reports an error, which the request itself
	 * may have caused, and ends the request.
	 * @param nowNanos the monotonic time
	 */
	public void answeredWithError(long nowNanos) {
		if (!this.ended) {
			this.target.recordAnswer();
			this.target.health().answeredWithError();
			end();
		}
	}

	/**
	 * Notes that the target failed the request, and ends the request.
	 * @param unreachable whether no connection could be made
	 * @param nowNanos the monotonic time
	 * @return whether this failure ejects the target
	 */
	public boolean failed(boolean unreachable, long nowNanos) {
		if (this.ended) {
			return false;
		}
		end();
		return this.target.health().failed(unreachable, nowNanos);
	}

	/**
	 * Ends the request without any effect on the target's health.
	 */
	public void end() {
		if (!this.ended) {
			this.ended = true;
			this.target.remove(this.load);
		}
	}

}
