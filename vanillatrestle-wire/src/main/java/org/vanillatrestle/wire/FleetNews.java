package org.vanillatrestle.wire;

import java.util.List;

import org.vanillatrestle.internal.declaration.DeclaredState;
import org.vanillatrestle.internal.fleet.EntryReport;
import org.vanillatrestle.internal.fleet.InFlightLoad;
import org.vanillatrestle.internal.fleet.TargetReport;
import org.vanillatrestle.internal.quarantine.SuspectPart;

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
	 * @param rank how many control VMs are nearer to it than the receiver
	 */
	record EntryBeat(EntryReport entry, long declaredIndex, int rank) implements FleetNews {
	}

	/**
	 * What an entry VM has in flight.
	 *
	 * @param loads the loads; targets not named have none
	 * @param follows whether the control VM is to tell what the others have in flight
	 * @param urgent whether the others should know at once
	 */
	record EntryLoads(List<InFlightLoad> loads, boolean follows, boolean urgent) implements FleetNews {

		public EntryLoads {
			loads = List.copyOf(loads);
		}

	}

	/**
	 * What all other entry VMs of a region have in flight.
	 *
	 * @param loads the loads; targets not named have none
	 */
	record RegionLoads(List<InFlightLoad> loads) implements FleetNews {

		public RegionLoads {
			loads = List.copyOf(loads);
		}

	}

	/**
	 * A sign of life of a control VM.
	 *
	 * @param declaredIndex the index of its declared state
	 * @param controlAddresses the control VMs it knows, as {@code host:port}
	 * @param entries the entry VMs heard of lately, or those of them that changed
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
	 * Prompt parts that may crash engines, or have been cleared.
	 *
	 * @param parts the parts
	 */
	record Suspects(List<SuspectPart> parts) implements FleetNews {

		public Suspects {
			parts = List.copyOf(parts);
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
