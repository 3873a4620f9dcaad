package org.vanillatrestle.daemon.internal.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.daemon.protocol.ControlCall;
import org.vanillatrestle.internal.declaration.DeclarationCommand;
import org.vanillatrestle.internal.declaration.DeclaredState;
import org.vanillatrestle.internal.fleet.TargetReport;

import static org.assertj.core.api.Assertions.assertThat;

class EvacuationOrderTests {

	private static final DataCentreId DATA_CENTRE = new DataCentreId("koshi-a");

	private static final DeclaredState EVACUATED = state(7, true);

	private final EventLoop loop = new DefaultEventLoop();

	private final CompletableFuture<Boolean> done = new CompletableFuture<>();

	private final Leader leader = new Leader();

	private final CallerPresence caller = new CallerPresence(this.loop, Long.MAX_VALUE, false);

	@AfterEach
	void stop() {
		this.loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	@Test
	void shouldChangeOnlyTheStateThatTheVmKnows() throws Exception {
		this.leader.replies.add(state(8, false));
		assertThat(endEvacuation()).isTrue();
		assertThat(this.leader.expectedIndices).containsExactly(OptionalLong.of(5));
	}

	// another change, such as a declaration, must not cost the operator its order
	@Test
	void shouldProposeAgainOnTheNewStateWhileTheCallerWaits() throws Exception {
		this.leader.replies.add(EVACUATED);
		this.leader.replies.add(state(8, false));
		assertThat(endEvacuation()).isTrue();
		assertThat(this.leader.expectedIndices).containsExactly(OptionalLong.of(5), OptionalLong.of(7));
	}

	// guards against an order that was held up between VMs and undoes a later one, as its
	// caller has given it up
	@Test
	void shouldNotProposeAgainWhenTheCallerHasGone() throws Exception {
		this.leader.replies.add(EVACUATED);
		this.leader.beforeReply = this.caller::disconnected;
		assertThat(endEvacuation()).isFalse();
		assertThat(this.leader.expectedIndices).hasSize(1);
	}

	@Test
	void shouldProposeNothingForACallerThatHasGone() throws Exception {
		this.caller.disconnected();
		assertThat(endEvacuation()).isFalse();
		assertThat(this.leader.expectedIndices).isEmpty();
	}

	@Test
	void shouldGiveUpWhenOtherChangesGoOn() throws Exception {
		for (int i = 0; i < 20; i++) {
			this.leader.replies.add(state(7 + i, true));
		}
		assertThat(endEvacuation()).isFalse();
		assertThat(this.leader.expectedIndices).hasSizeBetween(2, 10);
	}

	private boolean endEvacuation() throws InterruptedException, ExecutionException {
		EvacuationOrder order = new EvacuationOrder(new ControlCall.Evacuate(DATA_CENTRE, false), this.leader,
				this.loop, this.caller, this.done::complete);
		this.loop.execute(order::start);
		return this.done.get();
	}

	private static DeclaredState state(long index, boolean evacuated) {
		TreeSet<DataCentreId> dataCentres = new TreeSet<>();
		if (evacuated) {
			dataCentres.add(DATA_CENTRE);
		}
		return new DeclaredState(index, 1, new byte[0], dataCentres);
	}

	/** Replies with prepared states. */
	private static final class Leader implements ControlOperations {

		private final List<DeclaredState> replies = new ArrayList<>();

		private final List<OptionalLong> expectedIndices = new ArrayList<>();

		private final ControlMetrics metrics = new ControlMetrics();

		private Runnable beforeReply = () -> {
		};

		@Override
		public CompletableFuture<Optional<DeclaredState>> propose(DeclarationCommand command) {
			this.expectedIndices.add(((DeclarationCommand.Evacuate) command).expectedIndex());
			this.beforeReply.run();
			return CompletableFuture.completedFuture(Optional.of(this.replies.remove(0)));
		}

		@Override
		public long knownIndex() {
			return 5;
		}

		@Override
		public ControlMetrics metrics() {
			return this.metrics;
		}

		@Override
		public Optional<byte[]> resolve(ControlCall.Resolve lookup) {
			throw new UnsupportedOperationException();
		}

		@Override
		public void report(TargetReport report) {
			throw new UnsupportedOperationException();
		}

		@Override
		public void leave(TargetId target) {
			throw new UnsupportedOperationException();
		}

		@Override
		public boolean isConnectedToMajority() {
			return true;
		}

		@Override
		public CompletableFuture<Optional<DeclaredState>> read() {
			throw new UnsupportedOperationException();
		}

	}

}
