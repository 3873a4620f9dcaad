package org.vanillatrestle.daemon.internal.pipeline;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import io.netty.buffer.ByteBuf;
import org.vanillatrestle.Caller;
import org.vanillatrestle.Contract;
import org.vanillatrestle.OnceKey;
import org.vanillatrestle.RequestId;
import org.vanillatrestle.Verdict;
import org.vanillatrestle.internal.request.Ticket;

/**
 * The state of one request in the pipeline, including the results of the filters.
 * <p>
 * Used on the VM's event loop only. An exchange ends exactly once: with a complete
 * answer, a refusal, an aborted answer, or because the caller disconnected.
 */
public final class Exchange {

	private final RequestId id;

	private final CallerRequest request;

	private final AnswerSink sink;

	private final long arrivedNanos;

	private final List<ExchangeListener> listeners = new ArrayList<>();

	private Contract contract;

	private Caller caller;

	private Call call;

	private OnceKey onceKey;

	private OnceClaim claim;

	private Ticket ticket;

	private int attempts;

	private long usedTokens;

	private boolean headSent;

	private boolean ended;

	private long firstByteNanos = -1;

	private int status;

	private Verdict verdict = Verdict.NOT_RUN;

	private Runnable cancellation;

	private Runnable writabilityListener;

	private BooleanSupplier startPermission;

	private int senderAttempts;

	private int initialEventOffset;

	private boolean sentToOtherRegion;

	/**
	 * Creates an exchange.
	 * @param id the request ID
	 * @param request the request
	 * @param sink receives the answer
	 * @param arrivedNanos the monotonic arrival time in nanoseconds
	 */
	public Exchange(RequestId id, CallerRequest request, AnswerSink sink, long arrivedNanos) {
		this.id = id;
		this.request = request;
		this.sink = sink;
		this.arrivedNanos = arrivedNanos;
	}

	public RequestId id() {
		return this.id;
	}

	public CallerRequest request() {
		return this.request;
	}

	public long arrivedNanos() {
		return this.arrivedNanos;
	}

	public Contract contract() {
		return this.contract;
	}

	public Caller caller() {
		return this.caller;
	}

	public void setContractAndCaller(Contract contract, Caller caller) {
		this.contract = contract;
		this.caller = caller;
	}

	public Call call() {
		return this.call;
	}

	public void setCall(Call call) {
		this.call = call;
	}

	public Optional<OnceKey> onceKey() {
		return Optional.ofNullable(this.onceKey);
	}

	public void onceKey(OnceKey onceKey) {
		this.onceKey = onceKey;
	}

	public Optional<OnceClaim> claim() {
		return Optional.ofNullable(this.claim);
	}

	/**
	 * Sets the claim that the once ledger granted to this request.
	 * @param claim the granted claim
	 */
	public void setClaim(OnceClaim claim) {
		this.claim = claim;
	}

	public Ticket ticket() {
		return this.ticket;
	}

	/**
	 * Sets the ticket with which the policy admitted or queued the request.
	 * @param ticket the policy's ticket
	 */
	public void ticket(Ticket ticket) {
		this.ticket = ticket;
	}

	/**
	 * Returns the number of tokens charged against the contract's token limit.
	 * @return prompt tokens plus answer tokens of all attempts; 0 if there was no attempt
	 */
	public long usedTokens() {
		return (this.attempts > 0) ? this.call.promptTokens() + this.usedTokens : 0;
	}

	void addUsedTokens(int tokens) {
		this.usedTokens += tokens;
	}

	/**
	 * Returns the monotonic time by which the request must be answered.
	 * @return the time in nanoseconds
	 */
	public long deadlineNanos() {
		return this.arrivedNanos + this.call.deadlineMillis() * 1_000_000L;
	}

	public int attempts() {
		return this.attempts;
	}

	/**
	 * Increments the number of attempts.
	 * @return the number of the new attempt, starting at 1
	 */
	public int nextAttempt() {
		return ++this.attempts;
	}

	/**
	 * Returns whether another VM forwarded the request to this VM.
	 * @return {@code true} if so; the request must not be forwarded again
	 */
	public boolean isForwarded() {
		return this.startPermission != null;
	}

	/**
	 * Marks the request as forwarded by another VM.
	 * @param startPermission asked before any byte is sent to a target; returns whether
	 * the request may still run
	 * @param senderAttempts the number of attempts that the other VM made before
	 */
	public void markForwarded(BooleanSupplier startPermission, int senderAttempts) {
		this.startPermission = startPermission;
		this.senderAttempts = senderAttempts;
	}

	int senderAttempts() {
		return this.senderAttempts;
	}

	/**
	 * Returns whether the next attempt may start.
	 * @return {@code false} if the VM that forwarded the request was told that the
	 * request will never start
	 */
	boolean canStart() {
		return this.startPermission == null || this.startPermission.getAsBoolean();
	}

	/**
	 * Returns the number of stream events to omit from the start of the answer.
	 * @return the number of events; 0 unless another VM resumes a stream on this VM
	 */
	int initialEventOffset() {
		return this.initialEventOffset;
	}

	void initialEventOffset(int offset) {
		this.initialEventOffset = offset;
	}

	public boolean isSentToOtherRegion() {
		return this.sentToOtherRegion;
	}

	/**
	 * Records that an attempt was made outside the caller's home region.
	 */
	public void markSentToOtherRegion() {
		this.sentToOtherRegion = true;
	}

	public boolean isEnded() {
		return this.ended;
	}

	public boolean isWritable() {
		return this.sink.isWritable();
	}

	/**
	 * Returns the monotonic time at which the answer started.
	 * @return the time in nanoseconds, or -1 if no answer has started
	 */
	public long firstByteNanos() {
		return this.firstByteNanos;
	}

	/**
	 * Returns the HTTP status of the answer.
	 * @return the status, or 0 if none has been set yet
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns whether the request may have run, as reported to the caller.
	 * @return the verdict
	 */
	public Verdict verdict() {
		return this.verdict;
	}

	/**
	 * Adds a listener that is notified when the exchange ends.
	 * @param listener the listener
	 */
	public void addListener(ExchangeListener listener) {
		this.listeners.add(listener);
	}

	/**
	 * Sets the action that cancels the work in progress when the caller disconnects.
	 * @param cancellation the action, or {@code null} for none
	 */
	public void cancellation(Runnable cancellation) {
		this.cancellation = cancellation;
	}

	/**
	 * Sets the action to run when the writability of the sink changes.
	 * @param writabilityListener the action, or {@code null} for none
	 */
	public void writabilityListener(Runnable writabilityListener) {
		this.writabilityListener = writabilityListener;
	}

	/**
	 * Notifies the exchange that the writability of its sink has changed.
	 */
	public void writabilityChanged() {
		if (this.writabilityListener != null) {
			this.writabilityListener.run();
		}
	}

	/**
	 * Sends a complete answer and ends the exchange.
	 * @param head status and headers
	 * @param body the complete body
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void answer(AnswerHead head, byte[] body, long nowNanos) {
		if (this.ended) {
			return;
		}
		recordHead(head, nowNanos);
		this.sink.answer(head, body);
		finish(Verdict.RAN);
	}

	/**
	 * Starts an answer whose body is sent in parts.
	 * @param head status and headers
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void answerHead(AnswerHead head, long nowNanos) {
		recordHead(head, nowNanos);
		this.sink.head(head);
	}

	/**
	 * Sends a part of the answer's body.
	 * @param data the part; the exchange releases it
	 */
	public void answerPart(ByteBuf data) {
		if (this.ended) {
			data.release();
			return;
		}
		this.sink.body(data);
	}

	/**
	 * Completes an answer that was sent in parts and ends the exchange.
	 */
	public void answerEnd() {
		if (this.ended) {
			return;
		}
		this.sink.end();
		finish(Verdict.RAN);
	}

	/**
	 * Ends the exchange with an error. Sends an error answer if no head was sent yet,
	 * otherwise aborts the answer that has started.
	 * @param refusal the error
	 */
	public void refuse(Refusal refusal) {
		if (this.ended) {
			return;
		}
		if (this.headSent) {
			this.sink.abort();
		}
		else {
			this.status = refusal.status();
			this.sink.refuse(refusal);
		}
		finish(refusal.verdict());
	}

	/**
	 * Cancels the work in progress because the caller disconnected.
	 */
	public void callerDisconnected() {
		if (this.ended) {
			return;
		}
		if (this.cancellation != null) {
			this.cancellation.run();
		}
		if (!this.ended) {
			finish(Verdict.MAY_HAVE_RUN);
		}
	}

	private void recordHead(AnswerHead head, long nowNanos) {
		this.headSent = true;
		this.status = head.status();
		this.firstByteNanos = nowNanos;
	}

	private void finish(Verdict finalVerdict) {
		this.ended = true;
		this.verdict = finalVerdict;
		this.cancellation = null;
		this.writabilityListener = null;
		this.listeners.forEach((listener) -> listener.ended(this));
	}

}
