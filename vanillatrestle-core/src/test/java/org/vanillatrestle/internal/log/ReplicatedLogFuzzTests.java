package org.vanillatrestle.internal.log;

import java.util.List;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;

/**
 * Runs random schedules of messages, writes, syncs, crashes, network partitions, lost
 * disks and membership changes. The oracle checks every applied entry, every
 * acknowledgement and every leader.
 */
class ReplicatedLogFuzzTests {

	@Property(seed = "20261203", tries = 300, shrinking = ShrinkingMode.BOUNDED)
	void shouldKeepCommittedEntriesWithThreeReplicas(@ForAll("schedules") List<Step> schedule) {
		run(3, schedule);
	}

	@Property(seed = "20261204", tries = 100, shrinking = ShrinkingMode.BOUNDED)
	void shouldKeepCommittedEntriesWithFiveReplicas(@ForAll("schedules") List<Step> schedule) {
		run(5, schedule);
	}

	@Property(seed = "20261205", tries = 100, shrinking = ShrinkingMode.BOUNDED)
	void shouldKeepCommittedEntriesWithOneReplica(@ForAll("schedules") List<Step> schedule) {
		run(1, schedule);
	}

	private static void run(int size, List<Step> schedule) {
		SimulatedGroup group = new SimulatedGroup(size);
		group.runFor(schedule.size() % 2 * 3000L);
		schedule.forEach((step) -> step.action().run(group, step.number(), step.choice()));
		group.checkRecovery(size);
	}

	@Provide
	Arbitrary<List<Step>> schedules() {
		Arbitrary<Action> actions = Arbitraries.frequency(Action.frequencies());
		Arbitrary<Step> steps = Combinators
			.combine(actions, Arbitraries.integers().between(0, 9), Arbitraries.integers().between(0, 999))
			.as(Step::new);
		return steps.list().ofMinSize(50).ofMaxSize(600);
	}

	/**
	 * A step of a schedule. The number selects a replica or a count of deliveries; the
	 * choice selects a message, a duration in milliseconds or a count of surviving
	 * writes.
	 */
	record Step(Action action, int number, int choice) {
	}

	/**
	 * The actions that a schedule may contain. The argument is the relative frequency.
	 */
	enum Action {

		CARRY_OUT(12) {
			@Override
			void run(SimulatedGroup group, int number, int choice) {
				group.processOutputs(group.replica(number));
			}
		},

		SYNC(8) {
			@Override
			void run(SimulatedGroup group, int number, int choice) {
				group.sync(group.replica(number));
			}
		},

		DELIVER(16) {
			@Override
			void run(SimulatedGroup group, int number, int choice) {
				for (int i = 0; i <= number; i++) {
					group.deliver(0, false);
				}
			}
		},

		DELIVER_OUT_OF_ORDER(6) {
			@Override
			void run(SimulatedGroup group, int number, int choice) {
				group.deliver(choice, false);
			}
		},

		DELIVER_TWICE(2) {
			@Override
			void run(SimulatedGroup group, int number, int choice) {
				group.deliver(choice, true);
			}
		},

		DROP(2) {
			@Override
			void run(SimulatedGroup group, int number, int choice) {
				group.drop(choice);
			}
		},

		PASS(10) {
			@Override
			void run(SimulatedGroup group, int number, int choice) {
				group.advanceTime(choice % 80);
			}
		},

		PROPOSE(10) {
			@Override
			void run(SimulatedGroup group, int number, int choice) {
				SimulatedReplica replica = group.replica(number);
				if (replica.isUp()) {
					group.proposeTo(replica);
				}
			}
		},

		RUN(4) {
			@Override
			void run(SimulatedGroup group, int number, int choice) {
				group.runFor(choice);
			}
		},

		CRASH(2) {
			@Override
			void run(SimulatedGroup group, int number, int choice) {
				group.replica(number).crash(choice % 5);
			}
		},

		START(4) {
			@Override
			void run(SimulatedGroup group, int number, int choice) {
				group.start(group.replica(number));
			}
		},

		FAIL_SYNC(1) {
			@Override
			void run(SimulatedGroup group, int number, int choice) {
				group.replica(number).failSyncs();
			}
		},

		CUT(1) {
			@Override
			void run(SimulatedGroup group, int number, int choice) {
				group.isolate(group.replica(number));
			}
		},

		MUTE(1) {
			@Override
			void run(SimulatedGroup group, int number, int choice) {
				group.blockSending(group.replica(number));
			}
		},

		DEAFEN(1) {
			@Override
			void run(SimulatedGroup group, int number, int choice) {
				group.blockReceiving(group.replica(number));
			}
		},

		HEAL(4) {
			@Override
			void run(SimulatedGroup group, int number, int choice) {
				group.reconnectAll();
			}
		},

		HAND_OVER(1) {
			@Override
			void run(SimulatedGroup group, int number, int choice) {
				group.leader().ifPresent((leader) -> leader.log().handOver(0));
			}
		},

		REMOVE(1) {
			@Override
			void run(SimulatedGroup group, int number, int choice) {
				ReplicaId removed = group.replica(number).id();
				if (group.canLoseDisk()) {
					group.leader().ifPresent((leader) -> leader.log().remove(removed, 0));
				}
			}
		},

		LOSE_DISK(1) {
			@Override
			void run(SimulatedGroup group, int number, int choice) {
				SimulatedReplica lost = group.replica(number);
				if (group.canLoseDisk()) {
					group.loseDisk(lost);
				}
			}
		};

		private final int frequency;

		Action(int frequency) {
			this.frequency = frequency;
		}

		abstract void run(SimulatedGroup group, int number, int choice);

		@SuppressWarnings({ "unchecked", "rawtypes" })
		static net.jqwik.api.Tuple.Tuple2<Integer, Action>[] frequencies() {
			return java.util.Arrays.stream(values())
				.map((action) -> net.jqwik.api.Tuple.of(action.frequency, action))
				.toArray(net.jqwik.api.Tuple.Tuple2[]::new);
		}

	}

}
