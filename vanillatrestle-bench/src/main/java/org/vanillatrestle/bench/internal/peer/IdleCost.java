package org.vanillatrestle.bench.internal.peer;

import java.lang.management.ManagementFactory;
import java.util.LongSummaryStatistics;

import org.vanillatrestle.wire.PeerException;

/**
 * Measures what an idle VM sends, receives and computes for membership, summaries and
 * announcements, against the number of VMs in a data centre and of data centres. Prints
 * one line per size.
 */
public final class IdleCost {

	private static final int[] VMS = { 3, 6, 12, 24, 40 };

	private static final int[] DATA_CENTRES = { 5, 10, 20, 35, 50 };

	private static final int MODELS = 20;

	private static final int TARGETS_PER_VM = 9;

	private static final int VMS_PER_DATA_CENTRE = 12;

	private static final int FEW_DATA_CENTRES = 5;

	private static final int WARM_UP_SECONDS = 60;

	private static final int SECONDS = 60;

	private static final double NANOS_PER_SECOND = 1e9;

	private IdleCost() {
	}

	/**
	 * Runs the measurement.
	 * @param arguments none
	 * @throws PeerException if a message can't be read, which is a fault
	 */
	public static void main(String[] arguments) throws PeerException {
		measure(FEW_DATA_CENTRES, VMS_PER_DATA_CENTRE);
		System.out.println("VMs per data centre, at " + FEW_DATA_CENTRES + " data centres:");
		for (int vms : VMS) {
			System.out.println(measure(FEW_DATA_CENTRES, vms));
		}
		System.out.println("Data centres, at " + VMS_PER_DATA_CENTRE + " VMs each:");
		for (int dataCentres : DATA_CENTRES) {
			System.out.println(measure(dataCentres, VMS_PER_DATA_CENTRE));
		}
	}

	private static String measure(int dataCentres, int vms) throws PeerException {
		SimulatedNetwork network = new SimulatedNetwork(dataCentres, vms, MODELS, TARGETS_PER_VM);
		network.run(WARM_UP_SECONDS);
		network.vms().forEach((vm) -> vm.traffic().reset());
		long startNanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
		network.run(SECONDS);
		long cpuNanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - startNanos;
		LongSummaryStatistics bytes = network.vms()
			.stream()
			.mapToLong((vm) -> vm.traffic().bytes() / SECONDS)
			.summaryStatistics();
		long messages = network.vms().stream().mapToLong((vm) -> vm.traffic().messages()).sum();
		int known = network.vms().stream().mapToInt(SimulatedVm::knownDataCentres).min().orElseThrow();
		double corePercent = 100.0 * cpuNanos / NANOS_PER_SECOND / SECONDS / network.vms().size();
		return String.format(
				"dataCentres=%d vms=%d meanBytesPerSecond=%.0f maxBytesPerSecond=%d messagesPerSecond=%.1f"
						+ " corePercent=%.3f leastDataCentresKnown=%d",
				dataCentres, vms, bytes.getAverage(), bytes.getMax(),
				(double) messages / SECONDS / network.vms().size(), corePercent, known);
	}

}
