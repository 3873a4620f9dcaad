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
 * One request on its way through the pipeline, with what the filters have found out.
 * <p>
 * Used on the VM's event loop only. Ends exactly once: with a whole answer, a refusal, an
 * aborted answer, or because the caller has gone.
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

	private BooleanSupplier startGate;

	private int initialOffset;

	private boolean sentAway;

	/**
	 * Creates an exchange.
	 * @param id the request's id
	 * @param request the request
	 * @param sink where the answer goes
	 * @param arrivedNanos the monotonic time of arrival in nanoseconds
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

	/**
	 * Notes who calls under which contract.
	 * @param contract the contract
	 * @param caller the caller
	 */
	public void authenticated(Contract contract, Caller caller) {
		this.contract = contract;
		this.caller = caller;
	}

	public Call call() {
		return this.call;
	}

	/**
	 * Notes what is called.
	 * @param call the call
	 */
	public void classified(Call call) {
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
	 * Notes that the once ledger has granted this request's claim.
	 * @param claim the claim
	 */
	public void claimed(OnceClaim claim) {
		this.claim = claim;
	}

	public Ticket ticket() {
		return this.ticket;
	}

	/**
	 * Notes that the policy has admitted the request or lets it wait.
	 * @param ticket the policy's ticket
	 */
	public void ticket(Ticket ticket) {
		this.ticket = ticket;
	}

	/**
	 * Returns the tokens that count against the contract's limit.
	 * @return tokens of the prompt and of all answers; 0 if no attempt was made
	 */
	public long usedTokens() {
		return (this.attempts > 0) ? this.call.promptTokens() + this.usedTokens : 0;
	}

	void addUsedTokens(int tokens) {
		this.usedTokens += tokens;
	}

	/**
	 * Returns the monotonic time at which the request must be answered.
	 * @return nanoseconds
	 */
	public long deadlineNanos() {
		return this.arrivedNanos + this.call.deadlineMillis() * 1_000_000L;
	}

	public int attempts() {
		return this.attempts;
	}

	/**
	 * Counts another attempt.
	 * @return its number, beginning with 1
	 */
	public int nextAttempt() {
		return ++this.attempts;
	}

	/**
	 * Tells whether the request came from another VM, so that it must not be forwarded.
	 * @return whether the request was forwarded to this VM
	 */
	public boolean isForwarded() {
		return this.startGate != null;
	}

	/**
	 * Notes that the request came from another VM.
	 * @param startGate asked once before the first byte goes to a target; says whether
	 * the request may still run
	 */
	public void forwarded(BooleanSupplier startGate) {
		this.startGate = startGate;
	}

	/**
	 * Asks whether the next attempt may begin.
	 * @return {@code false} if the VM that forwarded the request was told that it never
	 * will start
	 */
	boolean mayStart() {
		return this.startGate == null || this.startGate.getAsBoolean();
	}

	/**
	 * Returns the number of stream events that the answer leaves out from the start.
	 * @return the number, 0 unless another VM resumes a stream here
	 */
	int initialOffset() {
		return this.initialOffset;
	}

	void initialOffset(int offset) {
		this.initialOffset = offset;
	}

	public boolean isSentAway() {
		return this.sentAway;
	}

	/**
	 * Notes that an attempt was made in another region.
	 */
	public void sentAway() {
		this.sentAway = true;
	}

	public boolean isEnded() {
		return this.ended;
	}

	public boolean isWritable() {
		return this.sink.isWritable();
	}

	/**
	 * Returns the monotonic time of the answer's first byte.
	 * @return nanoseconds, or -1 if there was none
	 */
	public long firstByteNanos() {
		return this.firstByteNanos;
	}

	/**
	 * Returns the HTTP status of the answer.
	 * @return the status, 0 while there is none
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns whether the request may have run, as told to the caller.
	 * @return the verdict
	 */
	public Verdict verdict() {
		return this.verdict;
	}

	/**
	 * Adds a listener for the end.
	 * @param listener the listener
	 */
	public void whenEnded(ExchangeListener listener) {
		this.listeners.add(listener);
	}

	/**
	 * Sets what stops the work in progress when the caller has gone.
	 * @param cancellation what to run, or {@code null} for nothing
	 */
	public void cancellation(Runnable cancellation) {
		this.cancellation = cancellation;
	}

	/**
	 * Sets what is told when the sink can take more parts.
	 * @param writabilityListener what to run, or {@code null} for nothing
	 */
	public void writabilityListener(Runnable writabilityListener) {
		this.writabilityListener = writabilityListener;
	}

	/**
	 * The sink's writability has changed.
	 */
	public void writabilityChanged() {
		if (this.writabilityListener != null) {
			this.writabilityListener.run();
		}
	}

	/**
	 * Sends a whole answer and ends the exchange.
	 * @param head status and headers
	 * @param body the whole body
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void answer(AnswerHead head, byte[] body, long nowNanos) {
		if (this.ended) {
			return;
		}
		begin(head, nowNanos);
		this.sink.whole(head, body);
		finish(Verdict.RAN);
	}

	/**
	 * Starts an answer that is sent in parts.
	 * @param head status and headers
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void answerHead(AnswerHead head, long nowNanos) {
		begin(head, nowNanos);
		this.sink.head(head);
	}

	/**
	 * Sends a part of the answer.
	 * @param data the part, released by the exchange
	 */
	public void answerPart(ByteBuf data) {
		if (this.ended) {
			data.release();
			return;
		}
		this.sink.body(data);
	}

	/**
	 * Ends an answer that was sent in parts.
	 */
	public void answerEnd() {
		if (this.ended) {
			return;
		}
		this.sink.end();
		finish(Verdict.RAN);
	}

	/**
	 * Ends the exchange with an error: as a whole answer, or by breaking off an answer
	 * that has begun.
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
	 * The caller has gone: stops the work in progress.
	 */
	public void callerGone() {
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

	private void begin(AnswerHead head, long nowNanos) {
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
