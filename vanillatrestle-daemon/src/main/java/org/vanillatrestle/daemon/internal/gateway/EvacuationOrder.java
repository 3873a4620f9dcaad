package org.vanillatrestle.daemon.internal.gateway;

import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import org.vanillatrestle.daemon.internal.logging.EventKind;
import org.vanillatrestle.daemon.internal.logging.EventLog;
import org.vanillatrestle.daemon.protocol.ControlCall;
import org.vanillatrestle.internal.declaration.DeclarationCommand;
import org.vanillatrestle.internal.declaration.DeclaredState;

/**
 * One order to evacuate a data centre or to end its evacuation.
 * <p>
 * Invariants: nothing is proposed once the caller has gone; a proposal changes only the
 * state that this VM knew when it was made, so that one that is held up between VMs can't
 * undo a later order; the order completes once. Used only on the VM's event loop.
 */
final class EvacuationOrder {

	/**
	 * Declarations and orders for other data centres change the state too.
	 */
	private static final int MAX_PROPOSALS = 4;

	private final ControlCall.Evacuate call;

	private final ControlOperations operations;

	private final EventLoop loop;

	private final CallerPresence caller;

	private final Consumer<Boolean> completion;

	private final long startNanos = System.nanoTime();

	private int proposals;

	/**
	 * Creates an order.
	 * @param call the order as it was received
	 * @param operations carries out the proposals
	 * @param loop the VM's event loop
	 * @param caller tells whether the caller still waits
	 * @param completion receives whether the data centre is evacuated as ordered
	 */
	EvacuationOrder(ControlCall.Evacuate call, ControlOperations operations, EventLoop loop, CallerPresence caller,
			Consumer<Boolean> completion) {
		this.call = call;
		this.operations = operations;
		this.loop = loop;
		this.caller = caller;
		this.completion = completion;
	}

	void start() {
		this.caller.whenSettled(() -> propose(this.operations.knownIndex()), () -> complete(Outcome.CALLER_GONE, null));
	}

	private void propose(long expectedIndex) {
		this.proposals++;
		this.operations
			.propose(new DeclarationCommand.Evacuate(this.call.dataCentre(), this.call.evacuated(),
					OptionalLong.of(expectedIndex)))
			.whenCompleteAsync((state, failure) -> proposed((failure != null) ? Optional.empty() : state), this.loop);
	}

	private void proposed(Optional<DeclaredState> state) {
		if (state.isEmpty()) {
			complete(Outcome.UNAVAILABLE, null);
		}
		else if (state.get().isEvacuated(this.call.dataCentre(), this.call.evacuated())) {
			complete(Outcome.DONE, state.get().index());
		}
		else if (this.proposals < MAX_PROPOSALS && this.caller.isWaiting()) {
			propose(state.get().index());
		}
		else {
			complete(Outcome.OVERTAKEN, state.get().index());
		}
	}

	private void complete(Outcome outcome, Long index) {
		boolean done = outcome == Outcome.DONE;
		long nanos = System.nanoTime() - this.startNanos;
		this.operations.metrics().recordOperatorCall("evacuate", done, nanos);
		EventLog.write(EventKind.OPERATOR_CALL, "order",
				(this.call.evacuated() ? "evacuate " : "end evacuation of ") + this.call.dataCentre(), "done", done,
				"reason", done ? null : outcome.label(), "index", index, "proposals", this.proposals, "millis",
				nanos / 1_000_000);
		this.completion.accept(done);
	}

	/**
	 * How an order ended.
	 */
	private enum Outcome {

		/** The data centre is evacuated as ordered. */
		DONE,

		/** The caller had closed the connection when the order was read. */
		CALLER_GONE,

		/** Other changes were made before it could take effect. */
		OVERTAKEN,

		/** No leader confirmed it in time. */
		UNAVAILABLE;

		private final String label = name().toLowerCase(Locale.ROOT).replace('_', '-');

		String label() {
			return this.label;
		}

	}

}
