package org.vanillatrestle.internal.log;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Every fault at every kind of message, and a crash at every write and sync boundary, of
 * one story: a group forms, commits, compacts, changes its leader, replaces a lost
 * replica.
 */
class ReplicatedLogFaultMatrixTests {

	private static final int LOST_EVERY = 3;

	@ParameterizedTest(name = "{0} {1}, {2} replicas")
	@MethodSource("messageFaults")
	void shouldKeepPromisesWhenMessages(Class<? extends LogMessage> type, MessageFault fault, int size) {
		SimulatedGroup group = new SimulatedGroup(size);
		Faults faults = new Faults(type, fault);
		group.setFaults(faults);
		story(group, size);
		group.checkRecovery(size);
		assertThat(faults.hits).as("messages of the kind").isPositive();
	}

	static Stream<Arguments> messageFaults() {
		List<Arguments> cells = new ArrayList<>();
		for (Class<?> type : LogMessage.class.getPermittedSubclasses()) {
			for (MessageFault fault : MessageFault.values()) {
				cells.add(Arguments.of(type, fault, 3));
				cells.add(Arguments.of(type, fault, 5));
			}
		}
		return cells.stream();
	}

	@ParameterizedTest(name = "{0} replicas, {1}")
	@MethodSource("crashes")
	void shouldKeepPromisesAfterCrashAtEveryBoundary(int size, CrashFault fault) {
		int boundaries = count(size);
		assertThat(boundaries).isGreaterThan(100);
		for (int i = 1; i <= boundaries; i += fault.stride(size)) {
			SimulatedGroup group = new SimulatedGroup(size);
			int[] left = { i };
			group.setBoundary(() -> crashAtZero(group, left, fault));
			story(group, size);
			group.checkRecovery(size);
		}
	}

	static Stream<Arguments> crashes() {
		List<Arguments> cells = new ArrayList<>();
		for (CrashFault fault : CrashFault.values()) {
			cells.add(Arguments.of(1, fault));
			cells.add(Arguments.of(3, fault));
		}
		cells.removeIf((cell) -> cell.get()[0].equals(1) && cell.get()[1] == CrashFault.DISK_LOST);
		return cells.stream();
	}

	private static void crashAtZero(SimulatedGroup group, int[] left, CrashFault fault) {
		left[0]--;
		if (left[0] != 0) {
			return;
		}
		fault.crash(group, group.running());
		throw new SimulatedGroup.CrashException();
	}

	private static int count(int size) {
		int[] boundaries = { 0 };
		SimulatedGroup group = new SimulatedGroup(size);
		group.setBoundary(() -> boundaries[0]++);
		story(group, size);
		return boundaries[0];
	}

	private static void story(SimulatedGroup group, int size) {
		for (int i = 0; i < 50; i++) {
			group.runFor(50);
			group.propose();
			group.propose();
			group.restartStopped();
		}
		if (group.mayLoseDisk()) {
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
		if (group.mayLoseDisk()) {
			group.loseDisk(replica);
			group.start(replica);
		}
	}

	/**
	 * What happens to messages of a kind.
	 */
	enum MessageFault {

		LOST, LATE, TWICE, OUT_OF_ORDER

	}

	/**
	 * What is left of a disk after a crash.
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
				if (group.mayLoseDisk()) {
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
	 * Applies a fault to messages of one kind.
	 */
	private static final class Faults implements SimulatedGroup.Network {

		private final Class<? extends LogMessage> type;

		private final MessageFault fault;

		private final List<LogEnvelope> heldBack = new ArrayList<>();

		private int hits;

		Faults(Class<? extends LogMessage> type, MessageFault fault) {
			this.type = type;
			this.fault = fault;
		}

		@Override
		public List<LogEnvelope> pass(LogEnvelope envelope) {
			if (!this.type.isInstance(envelope.message())) {
				return List.of(envelope);
			}
			this.hits++;
			return switch (this.fault) {
				case LOST -> (this.hits % LOST_EVERY == 1) ? List.of() : List.of(envelope);
				case LATE -> exchange(envelope, 20);
				case TWICE -> List.of(envelope, envelope);
				case OUT_OF_ORDER -> exchange(envelope, 1);
			};
		}

		private List<LogEnvelope> exchange(LogEnvelope envelope, int delay) {
			this.heldBack.add(envelope);
			if (this.heldBack.size() <= delay) {
				return (delay == 1) ? List.of() : List.of(envelope);
			}
			LogEnvelope late = this.heldBack.remove(0);
			return (delay == 1) ? List.of(envelope, late) : List.of(late);
		}

	}

}
