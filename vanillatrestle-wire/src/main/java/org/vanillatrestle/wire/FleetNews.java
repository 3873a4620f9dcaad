package org.vanillatrestle.wire;

import java.util.List;

import org.vanillatrestle.internal.declaration.DeclaredState;
import org.vanillatrestle.internal.fleet.EntryReport;
import org.vanillatrestle.internal.fleet.TargetReport;

/**
 * What entry and control VMs of a declared deployment tell each other.
 * <p>
 * Immutable and thread safe.
 */
public sealed interface FleetNews {

	/**
	 * A sign of life of an entry VM.
	 *
	 * @param entry the VM
	 * @param declaredIndex the index of its declared state
	 */
	record EntryBeat(EntryReport entry, long declaredIndex) implements FleetNews {
	}

	/**
	 * A sign of life of a control VM.
	 *
	 * @param declaredIndex the index of its declared state
	 * @param controlAddresses the control VMs it knows, as {@code host:port}
	 * @param entries the entry VMs heard of lately
	 */
	record ControlBeat(long declaredIndex, List<String> controlAddresses,
			List<EntryReport> entries) implements FleetNews {

		public ControlBeat {
			controlAddresses = List.copyOf(controlAddresses);
			entries = List.copyOf(entries);
		}

	}

	/**
	 * Reports of targets.
	 *
	 * @param reports the reports
	 */
	record Targets(List<TargetReport> reports) implements FleetNews {

		public Targets {
			reports = List.copyOf(reports);
		}

	}

	/**
	 * The declared state.
	 *
	 * @param state the state
	 */
	record Declared(DeclaredState state) implements FleetNews {
	}

}
