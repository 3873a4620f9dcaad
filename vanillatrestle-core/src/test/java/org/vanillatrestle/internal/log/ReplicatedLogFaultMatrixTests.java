package org.vanillatrestle.internal.log;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Repeats one scenario for every combination of a message fault and a kind of message,
 * and for every crash fault at each write or sync (at every second one in larger groups).
 * In the scenario a group forms, commits, compacts its log, changes its leader and
 * replaces a replica that lost its disk. Guards against lost or diverging entries and
 * against a group that does not recover.
 */
class ReplicatedLogFaultMatrixTests {

	private static final int DROP_INTERVAL_MESSAGES = 3;

	@ParameterizedTest(name = "{0} {1}, {2} replicas")
	@MethodSource("messageFaults")
	void shouldKeepGuaranteesUnderMessageFaults(Class<? extends LogMessage> type, MessageFault fault, int size) {
		SimulatedGroup group = new SimulatedGroup(size);
		MessageFaultInjector injector = new MessageFaultInjector(type, fault);
		group.setFaults(injector);
		runScenario(group, size);
		group.checkRecovery(size);
		assertThat(injector.matchingMessages).as("messages of the kind").isPositive();
	}

	static Stream<Arguments> messageFaults() {
		List<Arguments> cases = new ArrayList<>();
		for (Class<?> type : LogMessage.class.getPermittedSubclasses()) {
			for (MessageFault fault : MessageFault.values()) {
				cases.add(Arguments.of(type, fault, 3));
				cases.add(Arguments.of(type, fault, 5));
			}
		}
		return cases.stream();
	}

	@ParameterizedTest(name = "{0} replicas, {1}")
	@MethodSource("crashes")
	void shouldKeepGuaranteesAfterCrashAtWriteOrSync(int size, CrashFault fault) {
		int crashPoints = countCrashPoints(size);
		assertThat(crashPoints).isGreaterThan(100);
		for (int i = 1; i <= crashPoints; i += fault.stride(size)) {
			SimulatedGroup group = new SimulatedGroup(size);
			int[] remaining = { i };
			group.setCrashPointHook(() -> crashAfterCountdown(group, remaining, fault));
			runScenario(group, size);
			group.checkRecovery(size);
		}
	}

	static Stream<Arguments> crashes() {
		List<Arguments> cases = new ArrayList<>();
		for (CrashFault fault : CrashFault.values()) {
			cases.add(Arguments.of(1, fault));
			cases.add(Arguments.of(3, fault));
		}
		cases.removeIf((arguments) -> arguments.get()[0].equals(1) && arguments.get()[1] == CrashFault.DISK_LOST);
		return cases.stream();
	}

	private static void crashAfterCountdown(SimulatedGroup group, int[] remaining, CrashFault fault) {
		remaining[0]--;
		if (remaining[0] != 0) {
			return;
		}
		fault.crash(group, group.runningReplica());
		throw new SimulatedGroup.CrashException();
	}

	private static int countCrashPoints(int size) {
		int[] crashPoints = { 0 };
		SimulatedGroup group = new SimulatedGroup(size);
		group.setCrashPointHook(() -> crashPoints[0]++);
		runScenario(group, size);
		return crashPoints[0];
	}

	private static void runScenario(SimulatedGroup group, int size) {
		for (int i = 0; i < 50; i++) {
			group.runFor(50);
			group.propose();
			group.propose();
			group.restartStopped();
		}
		if (group.canLoseDisk()) {
			group.leader().ifPresent((leader) -> leader.log().handOver(0));
			group.runFor(200);
			loseDisk(group, group.replica(size - 1));
		}
		for (int i = 0; i < 10; i++) {
			group.runFor(100);
			group.propose();
			group.restartStopped();
		}
	}

	private static void loseDisk(SimulatedGroup group, SimulatedReplica replica) {
		if (group.canLoseDisk()) {
			group.loseDisk(replica);
			group.start(replica);
		}
	}

	/**
	 * The fault applied to messages of one kind.
	 */
	enum MessageFault {

		LOST, LATE, TWICE, OUT_OF_ORDER

	}

	/**
	 * How a replica crashes, and which of its writes survive.
	 */
	enum CrashFault {

		KEPT {
			@Override
			void crash(SimulatedGroup group, SimulatedReplica replica) {
				replica.crash(Integer.MAX_VALUE);
			}
		},

		TORN {
			@Override
			void crash(SimulatedGroup group, SimulatedReplica replica) {
				replica.crash(replica.unsyncedCount() / 2);
			}
		},

		UNSYNCED_LOST {
			@Override
			void crash(SimulatedGroup group, SimulatedReplica replica) {
				replica.crash(0);
			}
		},

		SYNC_FAILS {
			@Override
			void crash(SimulatedGroup group, SimulatedReplica replica) {
				replica.log().storageFailed("sync failed");
			}
		},

		DISK_LOST {
			@Override
			void crash(SimulatedGroup group, SimulatedReplica replica) {
				if (group.canLoseDisk()) {
					group.loseDisk(replica);
				}
				else {
					replica.crash(0);
				}
			}
		};

		abstract void crash(SimulatedGroup group, SimulatedReplica replica);

		int stride(int size) {
			return (size == 1) ? 1 : 2;
		}

	}

	/**
	 * Applies a fault to all messages of one kind.
	 */
	private static final class MessageFaultInjector implements SimulatedGroup.NetworkFaults {

		private final Class<? extends LogMessage> type;

		private final MessageFault fault;

		private final List<LogEnvelope> heldBack = new ArrayList<>();

		private int matchingMessages;

		MessageFaultInjector(Class<? extends LogMessage> type, MessageFault fault) {
			this.type = type;
			this.fault = fault;
		}

		@Override
		public List<LogEnvelope> apply(LogEnvelope envelope) {
			if (!this.type.isInstance(envelope.message())) {
				return List.of(envelope);
			}
			this.matchingMessages++;
			return switch (this.fault) {
				case LOST -> (this.matchingMessages % DROP_INTERVAL_MESSAGES == 1) ? List.of() : List.of(envelope);
				case LATE -> holdBack(envelope, 20);
				case TWICE -> List.of(envelope, envelope);
				case OUT_OF_ORDER -> holdBack(envelope, 1);
			};
		}

		private List<LogEnvelope> holdBack(LogEnvelope envelope, int delayMessages) {
			this.heldBack.add(envelope);
			if (this.heldBack.size() <= delayMessages) {
				return (delayMessages == 1) ? List.of() : List.of(envelope);
			}
			LogEnvelope late = this.heldBack.remove(0);
			return (delayMessages == 1) ? List.of(envelope, late) : List.of(late);
		}

	}

}
