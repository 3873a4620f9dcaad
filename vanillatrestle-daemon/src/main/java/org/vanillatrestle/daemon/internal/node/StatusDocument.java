package org.vanillatrestle.daemon.internal.node;

import java.util.Optional;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.vanillatrestle.daemon.internal.contracts.BookContracts;
import org.vanillatrestle.daemon.internal.control.ContractBookReplica;
import org.vanillatrestle.daemon.internal.ledger.LedgerPart;
import org.vanillatrestle.daemon.internal.peer.PeerService;
import org.vanillatrestle.daemon.internal.replica.ReplicaHost;
import org.vanillatrestle.daemon.internal.settings.Settings;
import org.vanillatrestle.internal.log.LogStatus;
import org.vanillatrestle.internal.membership.MemberRecord;
import org.vanillatrestle.internal.membership.RegionReachability;

/**
 * Builds a JSON document of the state of a VM and of its peers as known to it.
 * <p>
 * Used on the VM's event loop.
 */
final class StatusDocument {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Settings settings;

	private final BookContracts contracts;

	private final PeerService peers;

	private final Optional<ContractBookReplica> control;

	private final Optional<LedgerPart> ledger;

	StatusDocument(Settings settings, BookContracts contracts, PeerService peers, Optional<ContractBookReplica> control,
			Optional<LedgerPart> ledger) {
		this.settings = settings;
		this.contracts = contracts;
		this.peers = peers;
		this.control = control;
		this.ledger = ledger;
	}

	ObjectNode build() {
		ObjectNode document = JsonNodeFactory.instance.objectNode();
		document.put("vm", this.settings.self().id().value());
		document.put("region", this.settings.self().region().value());
		document.put("dataCentre", this.settings.self().dataCentre().value());
		document.put("appliedIndex", this.contracts.appliedIndex());
		document.put("contracts", this.contracts.view().size());
		Runtime runtime = Runtime.getRuntime();
		document.put("heapBytes", runtime.totalMemory() - runtime.freeMemory());
		addMembers(document.putArray("members"));
		addRegions(document.putArray("regions"));
		this.control.ifPresent((part) -> addReplica(document.putObject("contractBook"), part.replica()));
		this.ledger.ifPresent((part) -> addReplica(document.putObject("onceLedger"), part.replica()));
		return document;
	}

	private void addMembers(ArrayNode members) {
		for (MemberRecord member : this.peers.membership().knownMembers()) {
			members.addObject()
				.put("vm", member.vm().value())
				.put("status", member.status().name())
				.put("appliedIndex", member.appliedIndex());
		}
	}

	private void addRegions(ArrayNode regions) {
		long nowNanos = System.nanoTime();
		for (RegionReachability reach : this.peers.summaries().regions()) {
			regions.addObject()
				.put("region", reach.region().value())
				.put("reachable", reach.reachable())
				.put("sinceMillis", (nowNanos - reach.sinceNanos()) / NANOS_PER_MILLI);
		}
	}

	private static void addReplica(ObjectNode node, ReplicaHost replica) {
		LogStatus status = replica.status();
		node.put("role", status.role().name());
		node.put("term", status.term());
		node.put("commitIndex", status.commitIndex());
		status.leader().ifPresent((leader) -> node.put("leader", leader.vm().value()));
		node.put("leaderlessMillis", status.leaderlessNanos() / NANOS_PER_MILLI);
		status.failure().ifPresent((failure) -> node.put("failure", failure));
	}

}
